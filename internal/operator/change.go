package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"waxwingpick/core/config"
)

// Outcomes of a change.
const (
	outcomeAccepted  = "accepted"
	outcomeUnchanged = "unchanged"
	outcomeDryRun    = "dryRun"
	outcomeConflict  = "conflict"
	outcomeUnknown   = "unknown"
)

// changeResult is the result of a change of the configuration.
type changeResult struct {
	Outcome string `json:"outcome"`
	// Revision is the configuration revision in force. It is zero if the outcome is unknown.
	Revision int64  `json:"revision,omitempty"`
	ChangeID string `json:"changeId,omitempty"`
	Summary  string `json:"summary"`
	// Diff lists the differences that the change makes. In a conflict it lists those that other operators made in the
	// meantime.
	Diff []config.Difference `json:"diff,omitempty"`
	// Effects describes the effects of the change on the fleet.
	Effects []string `json:"effects,omitempty"`
	// Others lists the changes of other operators that were accepted in the meantime.
	Others []config.Change `json:"others,omitempty"`
}

// change holds the flags common to all commands that change the configuration, and commits their changes.
type change struct {
	keyValueFlags
	operator string
	changeID string
	expected int64
	dryRun   bool
}

func (c *change) setFlags(f *flag.FlagSet) {
	c.keyValueFlags.setFlags(f)
	f.StringVar(&c.operator, "operator", "", "your name in the history; else "+EnvOperator+" or USER")
	f.StringVar(&c.changeID, "change-id", "", "ID of the change; give that of an unknown outcome to try the same change again")
	f.Int64Var(&c.expected, "expect-revision", 0, "refuse the change unless this configuration revision is in force; 0 takes any")
	f.BoolVar(&c.dryRun, "dry-run", false, "show what the change would do and change nothing")
}

// commit reads the configuration, commits the edit and prints the result. Without a configuration it fails unless
// allowAbsent is set.
func (c *change) commit(ctx context.Context, edit config.Edit, allowAbsent bool) error {
	kv, err := c.dial()
	if err != nil {
		return err
	}
	store := config.NewStore(kv)
	base, err := store.Load(ctx)
	if err != nil {
		return err
	}
	if base.Record().Revision == 0 && !allowAbsent {
		return fmt.Errorf("%w: apply a configuration first", config.ErrNoRecord)
	}
	if c.expected != 0 && c.expected != base.Record().Revision {
		return c.printConflict(edit, config.ConflictSince(c.expected, base.Record()))
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
		return c.printResult(result)
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
		return c.printConflict(edit, conflict)
	case errors.As(err, &unknown):
		result.Outcome = outcomeUnknown
		result.Revision = 0
		result.ChangeID = unknown.ChangeID()
		return c.printFailure(result, err)
	case err != nil:
		return err
	}
	if done.Record().Revision != base.Record().Revision {
		result.Outcome = outcomeAccepted
		result.Revision = done.Record().Revision
		result.ChangeID = req.ChangeID
	}
	return c.printResult(result)
}

func (c *change) printConflict(edit config.Edit, conflict *config.ConflictError) error {
	return c.printFailure(changeResult{
		Outcome:  outcomeConflict,
		Revision: conflict.Current().Revision,
		Summary:  edit.Summary(),
		Diff:     conflict.Diff(),
		Others:   conflict.Changes(),
	}, conflict)
}

// printFailure prints a result and returns the error that determines the exit code.
func (c *change) printFailure(result changeResult, err error) error {
	if writeErr := c.printResult(result); writeErr != nil {
		return writeErr
	}
	return &reportedError{
		err: err,
	}
}

func (c *change) printResult(result changeResult) error {
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
		fmt.Fprintf(w, "  %s: %s -> %s\n", d.Path, valueOrNone(d.From), valueOrNone(d.To))
	}
	for _, effect := range result.Effects {
		fmt.Fprintf(w, "  effect: %s\n", effect)
	}
}

func valueOrNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
