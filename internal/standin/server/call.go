package server

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

var (
	errDown        = eris.New("stand-in is down")
	errBroken      = eris.New("connection broke")
	errLostRequest = eris.New("request was lost")
	errLostAnswer  = eris.New("answer was lost")
)

// Connect returns a context that ends as a connection would: when the caller gives it up or Down breaks it. It fails
// with ErrEngineUnreachable while the server is down.
func (s *Server) Connect(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", waxwingpick.ErrEngineUnreachable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return nil, nil, fmt.Errorf("%w: %w", waxwingpick.ErrEngineUnreachable, errDown)
	}
	// Down has to be seen at once, so that the connection is a child of the server's.
	conn, end := context.WithCancelCause(s.live)
	unhook := context.AfterFunc(ctx, func() {
		end(context.Cause(ctx))
	})
	return conn, func() {
		unhook()
		end(context.Canceled)
	}, nil
}

// Call handles a request without HTTP, under the same fault switches as one to the path; conn is from Connect. It
// fails with ErrEngineLost when the answer doesn't reach the caller, whether or not the request took effect.
func (s *Server) Call(conn context.Context, path string, handle func() error) error {
	s.mu.Lock()
	slow := s.slowRequest()
	deaf := take(s.deafTo, path)
	s.mu.Unlock()
	if slow > 0 {
		s.delay(conn, slow)
	}
	if cause := context.Cause(conn); cause != nil {
		return lost(cause)
	}
	if deaf {
		return lost(errLostRequest)
	}
	err := handle()
	s.mu.Lock()
	lose := take(s.lost, path)
	s.mu.Unlock()
	if lose {
		return lost(errLostAnswer)
	}
	if cause := context.Cause(conn); cause != nil {
		return lost(cause)
	}
	return err
}

// delay waits for the duration or the end of the connection.
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

func lost(cause error) error {
	return fmt.Errorf("%w: %w", waxwingpick.ErrEngineLost, cause)
}
