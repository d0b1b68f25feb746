package operator

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"waxwingpick"
	"waxwingpick/core/config"
)

func leaveCommand(env Env) subcommands.Command {
	return &command{
		env:      env,
		name:     "leave",
		synopsis: "announce that an instance leaves",
		usage: `waxwingpick leave [flags] INSTANCE

The instance gets no new work within seconds; running requests end or move, none
is cut. The date is the landlord's: work that would outlast it moves before it.

Examples:
  waxwingpick leave at-ost-b-engine-3
  waxwingpick leave -date 2031-03-09T06:00:00+01:00 at-ost-b-engine-3

`,
		action: &leave{
			change: newChange(env),
		},
	}
}

func stayCommand(env Env) subcommands.Command {
	return &command{
		env:      env,
		name:     "stay",
		synopsis: "withdraw the announcement that an instance leaves",
		usage: `waxwingpick stay [flags] INSTANCE

Example:
  waxwingpick stay at-ost-b-engine-3

`,
		action: &stay{
			change: newChange(env),
		},
	}
}

// leave is the action of the leave command.
type leave struct {
	change
	date string
}

func (l *leave) setFlags(f *flag.FlagSet) {
	l.change.setFlags(f)
	f.StringVar(&l.date, "date", "", "when the instance is taken away, such as 2031-03-09T06:00:00+01:00")
}

func (l *leave) run(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return usagef("takes one instance")
	}
	now := l.env.Now()
	by, err := parseDate(l.date, now)
	if err != nil {
		return err
	}
	return l.commit(ctx, config.AnnounceLeave(waxwingpick.InstanceID(args[0]), by, now), false)
}

// parseDate parses a time in RFC 3339 format, which must be in the future. It returns the zero time for an empty text.
func parseDate(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, usagef("-date %q is no date and time such as 2031-03-09T06:00:00+01:00", text)
	}
	if !t.After(now) {
		return time.Time{}, usagef("-date %s is not in the future", text)
	}
	return t, nil
}

// stay is the action of the stay command.
type stay struct {
	change
}

func (s *stay) run(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return usagef("takes one instance")
	}
	return s.commit(ctx, config.WithdrawLeave(waxwingpick.InstanceID(args[0])), false)
}
