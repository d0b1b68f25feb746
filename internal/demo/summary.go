package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"waxwingpick"
	standinengine "waxwingpick/internal/standin/engine"
	standinservice "waxwingpick/internal/standin/service"
)

// ErrGuarantee reports requests that were lost, truncated, answered with another request's response, or run twice.
var ErrGuarantee = eris.New("guarantee violated")

// Summary holds the results of a run.
type Summary struct {
	Quick       Tally `json:"quick"`
	Long        Tally `json:"long"`
	Orders      Tally `json:"orders"`
	OrdersRun   int   `json:"ordersRun"`
	Resent      int   `json:"resent"`
	RunTwice    int   `json:"runTwice"`
	Lost        int   `json:"lost"`
	NotRunRan   int   `json:"notRunRan"`
	RoleChanges int   `json:"roleChanges"`
	Violations  int   `json:"violations"`
}

// Check returns ErrGuarantee if a request failed or violated a guarantee. It is meant for runs with planned changes
// only, during which no request may fail.
func (s Summary) Check() error {
	cut := s.Quick.Cut + s.Long.Cut + s.Orders.Cut
	failed := s.Quick.Failed + s.Long.Failed + s.Orders.Failed
	if cut+failed > 0 {
		return fmt.Errorf("%w: cut %d, failed %d", ErrGuarantee, cut, failed)
	}
	return s.CheckFaulted()
}

// CheckFaulted returns ErrGuarantee if a request violated a guarantee that also holds under faults. Explicit failures
// and truncated responses are allowed.
func (s Summary) CheckFaulted() error {
	mixed := s.Quick.Mismatch + s.Long.Mismatch + s.Orders.Mismatch
	if mixed+s.RunTwice+s.Lost+s.NotRunRan+s.Violations > 0 {
		return fmt.Errorf("%w: mixed %d, run twice %d, lost %d, refused as not run but ran %d, engine violations %d",
			ErrGuarantee, mixed, s.RunTwice, s.Lost, s.NotRunRan, s.Violations)
	}
	return nil
}

// Table writes the summary as a text table.
func (s Summary) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\tsent\tin time\tlate\trefused\tfailed\tcut\tmixed")
	row := func(name string, c Tally) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, c.Sent, c.InTime, c.Late, c.Refused, c.Failed, c.Cut, c.Mismatch)
	}
	row("quick", s.Quick)
	row("long", s.Long)
	row("order", s.Orders)
	fmt.Fprintf(t, "\norders run\t%d\norders sent again\t%d\norders run twice\t%d\norders lost\t%d\nnot run, but ran\t%d\n",
		s.OrdersRun, s.Resent, s.RunTwice, s.Lost, s.NotRunRan)
	fmt.Fprintf(t, "role changes\t%d\nengine violations\t%d\n", s.RoleChanges, s.Violations)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

// JSON writes the summary as JSON.
func (s Summary) JSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

// Summary compares the results that callers received with the executions that the targets recorded.
func (l *Load) Summary(engines []*standinengine.Engine, services []*standinservice.Service) Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{
		Quick:  l.tallies[waxwingpick.ClassQuick],
		Long:   l.tallies[waxwingpick.ClassLong],
		Orders: l.tallies[waxwingpick.ClassOrder],
		Resent: l.resends,
	}
	s.addOrders(services, l.bookings, l.refused)
	for _, e := range engines {
		s.addEngine(e.Record())
	}
	return s
}

func (s *Summary) addOrders(services []*standinservice.Service, succeeded, refused []string) {
	runs := make(map[string]int)
	for _, service := range services {
		for key, n := range service.RunsByKey() {
			runs[key] += n
		}
	}
	for _, n := range runs {
		s.OrdersRun += n
		if n > 1 {
			s.RunTwice++
		}
	}
	for _, key := range succeeded {
		if runs[key] == 0 {
			s.Lost++
		}
	}
	for _, key := range refused {
		if runs[key] > 0 {
			s.NotRunRan++
		}
	}
}

func (s *Summary) addEngine(r standinengine.Record) {
	v := r.Violations
	s.Violations += v.ConflictingOrders + v.StaleOrders + v.CutRequests + v.ForeignContinuations + v.RepeatedStreams
	// The first order assigns the engine its model and is no role change.
	s.RoleChanges += max(0, len(r.Orders)-1)
}
