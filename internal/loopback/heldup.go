package loopback

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotGivenUp is returned if a call into a partition succeeds.
var ErrNotGivenUp = eris.New("call into a partition succeeded")

// maxArrivals bounds the requests that arrive at a HeldUp.
const maxArrivals = 8

// HeldUp is a server behind a relay. It shows which requests arrive after a partition has held them up.
type HeldUp struct {
	relay   *Relay
	server  *httptest.Server
	arrived chan string
}

// NewHeldUp starts a server that responds with the handler, over TLS if secured.
func NewHeldUp(secured bool, handler http.HandlerFunc) (*HeldUp, error) {
	h := &HeldUp{
		arrived: make(chan string, maxArrivals),
	}
	h.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.arrived <- r.RequestURI
		handler(w, r)
	}))
	if secured {
		h.server.StartTLS()
	} else {
		h.server.Start()
	}
	var err error
	if h.relay, err = NewRelay(h.server.Listener.Addr().String()); err != nil {
		h.server.Close()
		return nil, fmt.Errorf("start relay: %w", err)
	}
	return h, nil
}

// Addr returns the address of the relay.
func (h *HeldUp) Addr() string {
	return h.relay.Addr()
}

// Close stops the relay and the server.
func (h *HeldUp) Close() {
	h.relay.Close()
	h.server.Close()
}

// Arrivals makes a call that opens a connection, and then one into a partition, which has to fail. It returns the URIs of the requests
// that have arrived a time after the partition has healed, those of both calls. It fails with ErrNotGivenUp or the error of the first
// call.
func (h *HeldUp) Arrivals(first, late func() error, wait time.Duration) ([]string, error) {
	if err := first(); err != nil {
		return nil, fmt.Errorf("first call: %w", err)
	}
	h.relay.Cut(Forward)
	if err := late(); err == nil {
		return nil, ErrNotGivenUp
	}
	// The relay learns of a reset asynchronously.
	time.Sleep(wait)
	h.relay.Heal()
	time.Sleep(wait)
	var uris []string
	for range len(h.arrived) {
		uris = append(uris, <-h.arrived)
	}
	return uris, nil
}
