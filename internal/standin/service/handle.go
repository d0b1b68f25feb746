package service

import (
	"fmt"
	"net/http"
	"strings"
)

// result is the result of a request. The ID of the booking is empty where there is no booking.
type result struct {
	status  int
	booking Booking
	stored  bool
}

// handle runs a request. ok is false when the request crashed the service, which counts as a run.
func (s *Service) handle(r Run) (a result, ok bool) {
	if r.Method != http.MethodGet && strings.Contains(r.Body, DefaultCrashMarker) {
		s.mu.Lock()
		s.runs = append(s.runs, r)
		s.mu.Unlock()
		s.crash()
		return result{}, false
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

func (s *Service) find(id string) result {
	booking, ok := s.bookings[id]
	if !ok {
		return result{
			status: http.StatusNotFound,
		}
	}
	return result{
		status:  http.StatusOK,
		booking: booking,
	}
}

func (s *Service) store(id, body string, status int) result {
	booking := Booking{
		ID:   id,
		Body: body,
	}
	s.bookings[id] = booking
	return result{
		status:  status,
		booking: booking,
		stored:  true,
	}
}
