package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// shownChanges is the maximum number of changes in the table of the history.
const shownChanges = 5

func statusCommand(env Env) subcommands.Command {
	return &command{
		env:      env,
		name:     "status",
		synopsis: "show what is in force: preset, departures, authorities, targets",
		usage: `waxwingpick status [flags]

Shows what the records of the key-value service say; a plan that follows an older
configuration revision is marked as behind. With the platform's address it asks
the entries too: where the revision is in force, what the targets run, which
requests are suspected of crashing targets, and which workspaces are over their
rates. That part also works while the
key-value service is down; the command then exits with 1.

Examples:
  waxwingpick status
  waxwingpick status -platform 10.0.0.8:7000
  waxwingpick status -output json

`,
		action: &status{
			keyValueFlags: newKeyValueFlags(env),
			fleetClient: fleetClient{
				env: env,
			},
		},
	}
}

// status is the action of the status command.
type status struct {
	keyValueFlags
	fleetClient
}

func (s *status) setFlags(f *flag.FlagSet) {
	s.keyValueFlags.setFlags(f)
	s.fleetClient.setFlags(f)
}

// statusResult is the output of the status command.
type statusResult struct {
	Revision int64            `json:"revision"`
	InForce  string           `json:"inForce"`
	Leaving  []config.Leaving `json:"leaving"`
	Services []serviceStatus  `json:"services"`
	History  []config.Change  `json:"history"`
	// Problem is the reason why the records could not be read.
	Problem string `json:"problem,omitempty"`
	// Fleet is the status reported by the entries. It is nil if no address of the platform is set.
	Fleet *fleetStatus `json:"fleet,omitempty"`
}

// serviceStatus is the status of one service according to its plan.
type serviceStatus struct {
	Name waxwingpick.ServiceName `json:"name"`
	Kind config.TargetKind       `json:"kind"`
	// Problem is the reason why there is no readable plan.
	Problem        string                 `json:"problem,omitempty"`
	Holder         waxwingpick.InstanceID `json:"holder,omitempty"`
	Epoch          int64                  `json:"epoch,omitempty"`
	PlanRevision   int64                  `json:"planRevision,omitempty"`
	ConfigRevision int64                  `json:"configRevision,omitempty"`
	Targets        []targetStatus         `json:"targets,omitempty"`
}

// targetStatus is the planned state of one target.
type targetStatus struct {
	ID       waxwingpick.TargetID         `json:"id"`
	Instance waxwingpick.InstanceID       `json:"instance"`
	Zone     waxwingpick.AvailabilityZone `json:"zone"`
	Order    int64                        `json:"order"`
	Role     waxwingpick.Role             `json:"role"`
	Model    string                       `json:"model"`
	Version  string                       `json:"version"`
	Leaving  bool                         `json:"leaving"`
	LeaveBy  time.Time                    `json:"leaveBy,omitzero"`
}

func (s *status) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("takes no arguments")
	}
	kv, err := s.dial()
	if err != nil {
		return err
	}
	result, failure := readRecords(ctx, kv)
	if s.fleetClient.addr() == "" {
		if failure != nil {
			return failure
		}
	} else if err := s.addFleetStatus(ctx, &result); err != nil {
		return errors.Join(failure, err)
	}
	err = s.write(result, func(w io.Writer) {
		writeStatus(w, result)
	})
	if err == nil && failure != nil {
		return &reportedError{
			err: failure,
		}
	}
	return err
}

// addFleetStatus adds the status reported by the entries to the result.
func (s *status) addFleetStatus(ctx context.Context, result *statusResult) error {
	fleet, err := s.readStatus(ctx)
	result.Fleet = &fleet
	return err
}

// readRecords reads the configuration and the plans. If the configuration cannot be read, the result also contains the
// error text.
func readRecords(ctx context.Context, kv waxwingpick.KeyValue) (statusResult, error) {
	base, err := load(ctx, config.NewStore(kv))
	if err != nil {
		return statusResult{
			Problem: err.Error(),
		}, err
	}
	r := base.Record()
	result := statusResult{
		Revision: r.Revision,
		InForce:  r.InForce,
		Leaving:  r.Leaving,
		History:  r.History,
	}
	for _, service := range r.Services {
		result.Services = append(result.Services, readService(ctx, kv, r, service))
	}
	return result, nil
}

func readService(ctx context.Context, kv waxwingpick.KeyValue, r config.Record, service config.Service) serviceStatus {
	st := serviceStatus{
		Name: service.Name,
		Kind: service.Kind,
	}
	if service.Kind != config.KindEngine {
		return st
	}
	p, err := readPlan(ctx, kv, service.Name)
	if err != nil {
		st.Problem = err.Error()
		return st
	}
	st.Holder = p.Holder
	st.Epoch = p.Epoch
	st.PlanRevision = p.Revision
	st.ConfigRevision = p.ConfigRevision
	for _, t := range p.Targets {
		st.Targets = append(st.Targets, describeTarget(r, t))
	}
	return st
}

var errNoPlan = eris.New("no plan yet")

func readPlan(ctx context.Context, kv waxwingpick.KeyValue, service waxwingpick.ServiceName) (plan.Record, error) {
	e, err := kv.Get(ctx, plan.Key(service))
	if err != nil {
		return plan.Record{}, fmt.Errorf("read plan: %w", err)
	}
	if !e.Exists() {
		return plan.Record{}, errNoPlan
	}
	return plan.Decode(service, e.Value)
}

func describeTarget(r config.Record, t plan.Target) targetStatus {
	st := targetStatus{
		ID:       t.ID,
		Instance: t.Instance,
		Zone:     t.Zone,
		Order:    t.Order.Number,
		Role:     t.Order.Config.Role,
		Model:    t.Order.Config.Model,
		Version:  t.Order.Config.Version,
	}
	for _, l := range r.Leaving {
		if l.Instance == t.Instance {
			st.Leaving = true
			st.LeaveBy = l.By
		}
	}
	return st
}

func writeStatus(w io.Writer, s statusResult) {
	if s.Problem != "" {
		fmt.Fprintf(w, "records unknown: %s\n", s.Problem)
	} else {
		writeRecords(w, s)
	}
	if s.Fleet != nil {
		writeFleet(w, *s.Fleet, s.Revision)
	}
}

func writeRecords(w io.Writer, s statusResult) {
	fmt.Fprintf(w, "preset %s, revision %d\n\n", s.InForce, s.Revision)
	row(w, "SERVICE", "KIND", "AUTHORITY", "EPOCH", "PLAN", "CONFIG", "TARGETS", "NOTE")
	for _, service := range s.Services {
		row(w, service.Name, service.Kind, service.Holder, service.Epoch, service.PlanRevision, service.ConfigRevision, len(service.Targets), note(s, service))
	}
	writeTargets(w, s)
	writeLeaving(w, s.Leaving)
	fmt.Fprintln(w)
	row(w, "REVISION", "AT", "BY", "CHANGE")
	for i := len(s.History) - 1; i >= max(0, len(s.History)-shownChanges); i-- {
		c := s.History[i]
		row(w, c.Revision, formatTime(c.At), c.By, c.Summary)
	}
}

func note(s statusResult, service serviceStatus) string {
	switch {
	case service.Problem != "":
		return service.Problem
	case service.Kind == config.KindEngine && service.ConfigRevision < s.Revision:
		return "behind"
	}
	return ""
}

func writeTargets(w io.Writer, s statusResult) {
	for _, service := range s.Services {
		if len(service.Targets) == 0 {
			continue
		}
		fmt.Fprintln(w)
		row(w, "TARGET", "INSTANCE", "ZONE", "ORDER", "ROLE", "MODEL", "VERSION", "LEAVING")
		for _, t := range service.Targets {
			row(w, t.ID, t.Instance, t.Zone, t.Order, t.Role, t.Model, t.Version, leaving(t))
		}
	}
}

func leaving(t targetStatus) string {
	if !t.Leaving {
		return ""
	}
	if t.LeaveBy.IsZero() {
		return "yes"
	}
	return "by " + formatTime(t.LeaveBy)
}

func writeLeaving(w io.Writer, announced []config.Leaving) {
	if len(announced) == 0 {
		return
	}
	fmt.Fprintln(w)
	row(w, "LEAVING", "SINCE", "BY")
	for _, l := range announced {
		row(w, l.Instance, formatTime(l.Since), formatTime(l.By))
	}
}
