package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"waxwingpick/core/config"
)

// The outcomes of a change.
const (
	outcomeAccepted  = "accepted"
	outcomeUnchanged = "unchanged"
	outcomeDryRun    = "dryRun"
	outcomeConflict  = "conflict"
	outcomeUnknown   = "unknown"
)

// changeResult tells what became of a change.
type changeResult struct {
	Outcome string `json:"outcome"`
	// Revision is the configuration revision in force, as far as it is known.
	Revision int64  `json:"revision,omitempty"`
	ChangeID string `json:"changeId,omitempty"`
	Summary  string `json:"summary"`
	// Diff is what the change does or, in a conflict, what others changed meanwhile.
	Diff []config.Difference `json:"diff,omitempty"`
	// Effects says what the change means for the fleet.
	Effects []string `json:"effects,omitempty"`
	// Others are the changes accepted meanwhile.
	Others []config.Change `json:"others,omitempty"`
}

// change is the part that all commands share which change the configuration.
type change struct {
	remote
	operator string
	changeID string
	expected int64
	dryRun   bool
}

func (c *change) setFlags(f *flag.FlagSet) {
	c.remote.setFlags(f)
	f.StringVar(&c.operator, "operator", "", "your name in the history; else "+EnvOperator+" or USER")
	f.StringVar(&c.changeID, "change-id", "", "ID of the change; give that of an unknown outcome to try the same change again")
	f.Int64Var(&c.expected, "expect-revision", 0, "refuse the change unless this configuration revision is in force; 0 takes any")
	f.BoolVar(&c.dryRun, "dry-run", false, "show what the change would do and change nothing")
}

// commit reads the configuration, commits the edit and tells the result; first allows for an absent configuration.
func (c *change) commit(ctx context.Context, edit config.Edit, first bool) error {
	kv, err := c.dial()
	if err != nil {
		return err
	}
	store := config.NewStore(kv)
	base, err := store.Load(ctx)
	if err != nil {
		return err
	}
	if base.Record().Revision == 0 && !first {
		return fmt.Errorf("%w: apply a configuration first", config.ErrNoRecord)
	}
	if c.expected != 0 && c.expected != base.Record().Revision {
		return c.tellConflict(edit, config.ConflictSince(c.expected, base.Record()))
	}
	next, diff, err := config.Preview(base.Record(), edit)
	if err != nil {
		return err
	}
	result := changeResult{
		Outcome:  outcomeUnchanged,
		Revision: base.Record().Revision,
		Summary:  edit.Summary(),
		Diff:     diff,
	}
	if len(diff) > 0 {
		result.Effects = effects(base.Record(), next, readPlans(ctx, kv, next))
	}
	if c.dryRun {
		result.Outcome = outcomeDryRun
		return c.tell(result)
	}
	return c.write(ctx, store, base, edit, result)
}

func (c *change) write(ctx context.Context, store *config.Store, base config.Snapshot, edit config.Edit, result changeResult) error {
	req := config.Request{
		Edit:     edit,
		ChangeID: c.changeID,
		By:       c.operator,
		At:       c.env.Now(),
	}
	if req.ChangeID == "" {
		req.ChangeID = c.env.NewID()
	}
	if req.By == "" {
		req.By = c.env.operatorName()
	}
	done, err := store.Commit(ctx, base, req)
	var conflict *config.ConflictError
	var unknown *config.UnknownError
	switch {
	case errors.As(err, &conflict):
		return c.tellConflict(edit, conflict)
	case errors.As(err, &unknown):
		result.Outcome = outcomeUnknown
		result.Revision = 0
		result.ChangeID = unknown.ChangeID()
		return c.tellFailure(result, err)
	case err != nil:
		return err
	}
	if done.Record().Revision != base.Record().Revision {
		result.Outcome = outcomeAccepted
		result.Revision = done.Record().Revision
		result.ChangeID = req.ChangeID
	}
	return c.tell(result)
}

func (c *change) tellConflict(edit config.Edit, conflict *config.ConflictError) error {
	return c.tellFailure(changeResult{
		Outcome:  outcomeConflict,
		Revision: conflict.Current().Revision,
		Summary:  edit.Summary(),
		Diff:     conflict.Diff(),
		Others:   conflict.Changes(),
	}, conflict)
}

// tellFailure tells a result and returns the error that decides the exit code.
func (c *change) tellFailure(result changeResult, err error) error {
	if writeErr := c.tell(result); writeErr != nil {
		return writeErr
	}
	return &toldError{
		err: err,
	}
}

func (c *change) tell(result changeResult) error {
	return c.output.write(result, func(w io.Writer) {
		writeResult(w, result)
	})
}

func writeResult(w io.Writer, result changeResult) {
	switch result.Outcome {
	case outcomeAccepted:
		fmt.Fprintf(w, "accepted: %s, revision %d\n", result.Summary, result.Revision)
	case outcomeUnchanged:
		fmt.Fprintf(w, "unchanged: %s, revision %d already has it\n", result.Summary, result.Revision)
	case outcomeDryRun:
		fmt.Fprintf(w, "dry run: %s, on revision %d\n", result.Summary, result.Revision)
	case outcomeConflict:
		fmt.Fprintf(w, "conflict: %s was not accepted, in force is revision %d\n", result.Summary, result.Revision)
	case outcomeUnknown:
		fmt.Fprintf(w, "unknown: %s may have been accepted; try the same change again with\n-change-id %s\n", result.Summary, result.ChangeID)
		return
	}
	for _, other := range result.Others {
		fmt.Fprintf(w, "  revision %d by %s: %s\n", other.Revision, other.By, other.Summary)
	}
	for _, d := range result.Diff {
		fmt.Fprintf(w, "  %s: %s -> %s\n", d.Path, absent(d.From), absent(d.To))
	}
	for _, effect := range result.Effects {
		fmt.Fprintf(w, "  effect: %s\n", effect)
	}
}

func absent(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
