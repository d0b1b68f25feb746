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

// ErrPromise says that a run saw something lost, cut, mixed or doubled.
var ErrPromise = eris.New("a promise did not hold")

// Summary is what a run saw.
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

// Check returns ErrPromise where something was lost, cut, mixed or doubled; it is for planned changes.
func (s Summary) Check() error {
	cut := s.Quick.Cut + s.Long.Cut + s.Orders.Cut
	failed := s.Quick.Failed + s.Long.Failed + s.Orders.Failed
	if cut+failed > 0 {
		return fmt.Errorf("%w: cut %d, failed %d", ErrPromise, cut, failed)
	}
	return s.CheckFaulted()
}

// CheckFaulted returns ErrPromise where something happened that no fault excuses; explicit failures are allowed.
func (s Summary) CheckFaulted() error {
	mixed := s.Quick.Mismatch + s.Long.Mismatch + s.Orders.Mismatch
	if mixed+s.RunTwice+s.Lost+s.NotRunRan+s.Violations > 0 {
		return fmt.Errorf("%w: mixed %d, run twice %d, lost %d, refused as not run but ran %d, engine violations %d",
			ErrPromise, mixed, s.RunTwice, s.Lost, s.NotRunRan, s.Violations)
	}
	return nil
}

// Table writes the summary as a table.
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

// Summary compares what callers saw with what the targets ran.
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

func (s *Summary) addOrders(services []*standinservice.Service, answered, refused []string) {
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
	for _, key := range answered {
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
	// The first order gives an engine its model.
	s.RoleChanges += max(0, len(r.Orders)-1)
}
