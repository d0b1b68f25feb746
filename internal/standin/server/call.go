package server

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

var (
	errDown         = eris.New("stand-in is down")
	errBroken       = eris.New("connection broke")
	errLostRequest  = eris.New("request was lost")
	errLostResponse = eris.New("response was lost")
)

// Connect returns a context that stands for a connection. It ends when the caller's context ends or when Down breaks the
// connections. Connect fails with ErrEngineUnreachable while the server is down.
func (s *Server) Connect(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", waxwingpick.ErrEngineUnreachable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return nil, nil, fmt.Errorf("%w: %w", waxwingpick.ErrEngineUnreachable, errDown)
	}
	// The connection is a child of the server's context, so that Down ends it immediately.
	conn, end := context.WithCancelCause(s.connsContext)
	unregister := context.AfterFunc(ctx, func() {
		end(context.Cause(ctx))
	})
	return conn, func() {
		unregister()
		end(context.Canceled)
	}, nil
}

// Call handles a request without HTTP, under the fault switches that apply to the path. conn is a context from Connect.
// It fails with ErrEngineLost if the response does not reach the caller, whether or not the request took effect.
func (s *Server) Call(conn context.Context, path string, handle func() error) error {
	s.mu.Lock()
	slow := s.requestDelay()
	loseRequest := matchLoss(s.lostRequests, path)
	s.mu.Unlock()
	if slow > 0 {
		s.delay(conn, slow)
	}
	if cause := context.Cause(conn); cause != nil {
		return engineLost(cause)
	}
	if loseRequest {
		return engineLost(errLostRequest)
	}
	err := handle()
	s.mu.Lock()
	loseResponse := matchLoss(s.lostResponses, path)
	s.mu.Unlock()
	if loseResponse {
		return engineLost(errLostResponse)
	}
	if cause := context.Cause(conn); cause != nil {
		return engineLost(cause)
	}
	return err
}

// delay waits until the duration has passed or the connection ends.
func (s *Server) delay(conn context.Context, d time.Duration) {
	due := make(chan struct{})
	stop := s.cfg.timers.After(d, func(time.Time) {
		close(due)
	})
	defer stop()
	select {
	case <-due:
	case <-conn.Done():
	}
}

func engineLost(cause error) error {
	return fmt.Errorf("%w: %w", waxwingpick.ErrEngineLost, cause)
}
