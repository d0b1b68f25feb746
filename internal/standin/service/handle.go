package service

import (
	"fmt"
	"net/http"
	"strings"
)

// answer is what a request leads to; the booking has no ID where there is none.
type answer struct {
	status  int
	booking Booking
	stored  bool
}

// handle gives a request its effect; ok is false when the request crashed the service, which counts as a run.
func (s *Service) handle(r Run) (a answer, ok bool) {
	if r.Method != http.MethodGet && strings.Contains(r.Body, DefaultCrashMarker) {
		s.mu.Lock()
		s.runs = append(s.runs, r)
		s.mu.Unlock()
		s.crash()
		return answer{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
	id := strings.TrimPrefix(r.Path, bookingsPath+"/")
	switch r.Method {
	case http.MethodGet:
		return s.find(id), true
	case http.MethodPost:
		s.created++
		return s.store(fmt.Sprintf("b%d", s.created), r.Body, http.StatusCreated), true
	default:
		return s.store(id, r.Body, http.StatusOK), true
	}
}

func (s *Service) find(id string) answer {
	booking, ok := s.bookings[id]
	if !ok {
		return answer{
			status: http.StatusNotFound,
		}
	}
	return answer{
		status:  http.StatusOK,
		booking: booking,
	}
}

func (s *Service) store(id, body string, status int) answer {
	booking := Booking{
		ID:   id,
		Body: body,
	}
	s.bookings[id] = booking
	return answer{
		status:  status,
		booking: booking,
		stored:  true,
	}
}
