package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
)

// Formats of a command's output.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// output writes the output of a command in the format that a flag selects.
type output struct {
	env    Env
	format string
}

func (o *output) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.format, "output", formatTable, "format of the output: table or json")
}

// validate returns an error if the format is unknown.
func (o *output) validate() error {
	if o.format != formatTable && o.format != formatJSON {
		return usagef("-output %q is none of table, json", o.format)
	}
	return nil
}

// write encodes the value as JSON, or calls table to write it as text with aligned columns.
func (o *output) write(value any, table func(w io.Writer)) error {
	if o.format == formatJSON {
		enc := json.NewEncoder(o.env.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(value); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
		return nil
	}
	w := tabwriter.NewWriter(o.env.Stdout, 0, 8, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// row writes one line of a table. An empty cell is shown as "-".
func row(w io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		text := fmt.Sprint(cell)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// formatTime formats a time in RFC 3339 format. The zero time is shown as "-".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

const day = 24 * time.Hour

// daysBetween returns the number of whole days between two times.
func daysBetween(from, to time.Time) int {
	return int(to.Sub(from) / day)
}

// defaultTimeout is the default time-out of a call to the key-value service.
const defaultTimeout = 5 * time.Second

// keyValueFlags holds the flags for reaching the key-value service, and creates its client.
type keyValueFlags struct {
	output
	addr    string
	timeout time.Duration
}

func (r *keyValueFlags) setFlags(f *flag.FlagSet) {
	r.output.setFlags(f)
	f.StringVar(&r.addr, "keyvalue", "", "IP address and port of the key-value service; else "+EnvKeyValue)
	f.DurationVar(&r.timeout, "timeout", defaultTimeout, "time for each call to the key-value service")
}

// dial returns a client for the key-value service.
func (r *keyValueFlags) dial() (waxwingpick.KeyValue, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	addr := r.addr
	if addr == "" {
		addr = r.env.Getenv(EnvKeyValue)
	}
	if addr == "" {
		return nil, usagef("the key-value service's address is missing: set -keyvalue or %s", EnvKeyValue)
	}
	if r.timeout <= 0 {
		return nil, usagef("-timeout %s is not positive", r.timeout)
	}
	kv, err := r.env.Dial(addr, r.timeout)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return kv, nil
}

// load reads the configuration. It fails if there is none.
func load(ctx context.Context, store *config.Store) (config.Snapshot, error) {
	base, err := store.Load(ctx)
	if err != nil {
		return config.Snapshot{}, err
	}
	if base.Record().Revision == 0 {
		return config.Snapshot{}, fmt.Errorf("%w: apply a configuration first", config.ErrNoRecord)
	}
	return base, nil
}
