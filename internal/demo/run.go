package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/timer"
	standinengine "waxwingpick/internal/standin/engine"
)

const (
	initialLoadTime = 3 * time.Second
	stepTime        = 1500 * time.Millisecond
	stopTimeout     = 10 * time.Second
	startTimeout    = 20 * time.Second
	demoEngines     = 2
	demoPlains      = 2
	demoEntries     = 2
	quickCallers    = 12
	longCallers     = 3
	orderCallers    = 4

	prefillToken = 10 * time.Microsecond
	decodeToken  = time.Millisecond
	operatorName = "demo"
)

// Fault is a fault that a run injects to show that its checks detect it.
type Fault string

// Faults of a run.
const (
	FaultNone Fault = ""
	// FaultDoubleRun repeats a booking directly at the service, which bypasses deduplication.
	FaultDoubleRun Fault = "doubleRun"
	// FaultCut stops an entry without draining its streams.
	FaultCut Fault = "cut"
)

// Options configures a run.
type Options struct {
	Config   config.Record
	Zones    []waxwingpick.AvailabilityZone
	Fault    Fault
	Progress io.Writer
	Log      *logrus.Logger
	// Decisions receives the decisions of the processes about requests; nil discards them.
	Decisions waxwingpick.DecisionLog
}

// Run starts a cluster, sends a short mixed load with repeated bookings, during which presets are switched and an
// instance is announced to leave, and returns a summary of the results.
func Run(ctx context.Context, o Options) (Summary, error) {
	progress(o, "starting %d engines, %d plain services, %d sidecars and %d entries on loopback", demoEngines, demoPlains, demoEngines+demoPlains, demoEntries)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := NewCluster(startCtx, Layout{
		Config:        scaleRoles(o.Config, demoEngines),
		Engines:       demoEngines,
		PlainServices: demoPlains,
		Entries:       demoEntries,
		Zones:         o.Zones,
		EngineOptions: []standinengine.Option{standinengine.Speed(prefillToken, decodeToken)},
		Log:           o.Log,
		Decisions:     o.Decisions,
	})
	if err != nil {
		return Summary{}, fmt.Errorf("start cluster: %w", err)
	}
	summary, err := o.runLoad(ctx, c)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	return summary, errors.Join(err, c.Close(stopCtx))
}

func progress(o Options, format string, args ...any) {
	fmt.Fprintf(o.Progress, "demo: "+format+"\n", args...)
}

// runLoad sends the load during the scenario.
func (o Options) runLoad(ctx context.Context, c *Cluster) (Summary, error) {
	l := newLoad(c, o.Config.Presets[0])
	progress(o, "load: %d callers of quick questions, %d of long ones, %d of bookings", quickCallers, longCallers, orderCallers)
	err := l.RunDuring(ctx, quickCallers, longCallers, orderCallers, func(ctx context.Context) error {
		return o.scenario(ctx, c, l)
	})
	return c.summarise(l), err
}

// step is one configuration change of the scenario.
type step struct {
	description string
	edit        config.Edit
}

func (o Options) scenario(ctx context.Context, c *Cluster, l *Load) error {
	if err := c.sleep(ctx, initialLoadTime); err != nil {
		return err
	}
	leaving := c.Instances()[0].ID
	steps := []step{{
		description: "switching to preset " + o.Config.Presets[1].Name,
		edit:        config.SwitchPreset(o.Config.Presets[1].Name),
	}, {
		description: "instance " + string(leaving) + " leaves",
		edit:        config.AnnounceLeave(leaving, time.Time{}, time.Now().UTC()),
	}, {
		description: "instance " + string(leaving) + " stays after all",
		edit:        config.WithdrawLeave(leaving),
	}, {
		description: "switching back to preset " + o.Config.InForce,
		edit:        config.SwitchPreset(o.Config.InForce),
	}}
	for _, s := range steps {
		progress(o, "%s", s.description)
		if err := c.commit(ctx, s.edit); err != nil {
			return err
		}
		if err := c.sleep(ctx, stepTime); err != nil {
			return err
		}
	}
	return o.injectFault(ctx, c, l)
}

func (o Options) injectFault(ctx context.Context, c *Cluster, l *Load) error {
	switch o.Fault {
	case FaultNone:
	case FaultDoubleRun:
		progress(o, "fault: a booking is sent to the service once more past the system")
		return c.repeatBooking(ctx, l)
	case FaultCut:
		progress(o, "fault: an entry is cut with requests running")
		cutCtx, cancel := context.WithCancel(ctx)
		cancel()
		// The error reports the streams that were cut, which the callers' counts include.
		_ = c.StopEntry(cutCtx, 0)
	default:
		return eris.Errorf("fault %q is none of doubleRun, cut", o.Fault)
	}
	return nil
}

// commit writes a configuration change to the key-value service, as an operator does.
func (c *Cluster) commit(ctx context.Context, edit config.Edit) error {
	kv, err := c.KeyValue()
	if err != nil {
		return err
	}
	store := config.NewStore(kv)
	base, err := store.Load(ctx)
	if err != nil {
		return fmt.Errorf("load config: %w", err)
	}
	_, err = store.Commit(ctx, base, config.Request{
		Edit:     edit,
		By:       operatorName,
		At:       time.Now().UTC(),
		ChangeID: uuid.NewString(),
	})
	if err != nil {
		return fmt.Errorf("commit config: %w", err)
	}
	return nil
}

func (c *Cluster) sleep(ctx context.Context, d time.Duration) error {
	if !timer.Sleep(ctx, c.timers, d) {
		return fmt.Errorf("wait: %w", ctx.Err())
	}
	return nil
}

// repeatBooking repeats a successful booking directly at the service.
func (c *Cluster) repeatBooking(ctx context.Context, l *Load) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bookings) == 0 {
		return eris.New("no booking to repeat")
	}
	caller := NewCaller("past the system")
	defer caller.Close()
	resp, err := caller.send(ctx, "POST", "http://"+c.services[0].Addr()+bookingPath, []byte("{}"), l.bookings[0])
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// summarise returns the summary of a load on this cluster.
func (c *Cluster) summarise(l *Load) Summary {
	return l.Summary(c.engines, c.services)
}
