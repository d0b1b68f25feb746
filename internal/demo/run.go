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

// Parts of the run and its load.
const (
	steadyTime  = 3 * time.Second
	changedTime = 1500 * time.Millisecond
	settleTime  = 10 * time.Second
	startTime   = 20 * time.Second
	demoEngines = 2
	demoPlains  = 2
	demoEntries = 2
	quickers    = 12
	longers     = 3
	orderers    = 4

	prefillToken = 10 * time.Microsecond
	decodeToken  = time.Millisecond
	operatorName = "demo"
)

// Fault is something that a run breaks on purpose, to show that it is noticed.
type Fault string

// The faults of a run.
const (
	FaultNone Fault = ""
	// FaultDoubleRun sends a booking to the service once more past the system.
	FaultDoubleRun Fault = "doubleRun"
	// FaultCut ends an entry without letting its streams end.
	FaultCut Fault = "cut"
)

// Options says what a run does.
type Options struct {
	Config   config.Record
	Zones    []waxwingpick.AvailabilityZone
	Fault    Fault
	Progress io.Writer
	Log      *logrus.Logger
	// Decisions takes what the processes decide about requests; nil keeps none of it.
	Decisions waxwingpick.DecisionLog
}

// Run starts the whole path on stand-ins, sends a short mixed load with a preset switch, a leaving instance and
// repeated bookings in the middle, and returns what it saw.
func Run(ctx context.Context, o Options) (Summary, error) {
	progress(o, "starting %d engines, %d plain services, %d sidecars and %d entries on loopback", demoEngines, demoPlains, demoEngines+demoPlains, demoEntries)
	startCtx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	c, err := NewCluster(startCtx, Layout{
		Config:        fitRoles(o.Config, demoEngines),
		Engines:       demoEngines,
		Plains:        demoPlains,
		Entries:       demoEntries,
		Zones:         o.Zones,
		EngineOptions: []standinengine.Option{standinengine.Speed(prefillToken, decodeToken)},
		Log:           o.Log,
		Decisions:     o.Decisions,
	})
	if err != nil {
		return Summary{}, fmt.Errorf("start cluster: %w", err)
	}
	summary, err := o.drive(ctx, c)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), settleTime)
	defer cancelStop()
	return summary, errors.Join(err, c.Close(stopCtx))
}

func progress(o Options, format string, args ...any) {
	fmt.Fprintf(o.Progress, "demo: "+format+"\n", args...)
}

// drive sends the load while the scenario runs.
func (o Options) drive(ctx context.Context, c *Cluster) (Summary, error) {
	l := newLoad(c, o.Config.Presets[0])
	progress(o, "load: %d callers of quick questions, %d of long ones, %d of bookings", quickers, longers, orderers)
	err := l.Drive(ctx, quickers, longers, orderers, func(ctx context.Context) error {
		return o.scenario(ctx, c, l)
	})
	return c.summarise(l), err
}

// step is one part of the scenario.
type step struct {
	says string
	edit config.Edit
}

func (o Options) scenario(ctx context.Context, c *Cluster, l *Load) error {
	if err := c.sleep(ctx, steadyTime); err != nil {
		return err
	}
	leaver := c.Instances()[0].ID
	steps := []step{{
		says: "switching to preset " + o.Config.Presets[1].Name,
		edit: config.SwitchPreset(o.Config.Presets[1].Name),
	}, {
		says: "instance " + string(leaver) + " leaves",
		edit: config.AnnounceLeave(leaver, time.Time{}, time.Now().UTC()),
	}, {
		says: "instance " + string(leaver) + " stays after all",
		edit: config.WithdrawLeave(leaver),
	}, {
		says: "switching back to preset " + o.Config.InForce,
		edit: config.SwitchPreset(o.Config.InForce),
	}}
	for _, s := range steps {
		progress(o, "%s", s.says)
		if err := c.commit(ctx, s.edit); err != nil {
			return err
		}
		if err := c.sleep(ctx, changedTime); err != nil {
			return err
		}
	}
	return o.breakSomething(ctx, c, l)
}

func (o Options) breakSomething(ctx context.Context, c *Cluster, l *Load) error {
	switch o.Fault {
	case FaultNone:
	case FaultDoubleRun:
		progress(o, "fault: a booking is sent to the service once more past the system")
		return c.doubleRun(ctx, l)
	case FaultCut:
		progress(o, "fault: an entry is cut with requests running")
		cutCtx, cancel := context.WithCancel(ctx)
		cancel()
		// The entry reports what it cut; the callers' counts show it.
		_ = c.StopEntry(cutCtx, 0)
	default:
		return eris.Errorf("fault %q is none of doubleRun, cut", o.Fault)
	}
	return nil
}

// commit makes an operator's change, which is in force once the key-value service accepted it.
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

// doubleRun repeats a booking that was answered.
func (c *Cluster) doubleRun(ctx context.Context, l *Load) error {
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

// summarise compares what callers saw with what the targets ran.
func (c *Cluster) summarise(l *Load) Summary {
	return l.Summary(c.engines, c.services)
}
