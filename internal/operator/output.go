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

// The formats of a command's output.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// output writes in the format that a flag chose.
type output struct {
	env    Env
	format string
}

func (o *output) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.format, "output", formatTable, "format of the output: table or json")
}

// validate refuses an unknown format.
func (o *output) validate() error {
	if o.format != formatTable && o.format != formatJSON {
		return usagef("-output %q is none of table, json", o.format)
	}
	return nil
}

// write writes the value as JSON, or as the text that table writes.
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

// row writes the cells of one line.
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

// date shows a time that may be unset.
func date(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

const day = 24 * time.Hour

// daysBetween returns the whole days from one time to another.
func daysBetween(from, to time.Time) int {
	return int(to.Sub(from) / day)
}

const defaultTimeout = 5 * time.Second

// remote reaches the key-value service.
type remote struct {
	output
	addr    string
	timeout time.Duration
}

func (r *remote) setFlags(f *flag.FlagSet) {
	r.output.setFlags(f)
	f.StringVar(&r.addr, "keyvalue", "", "IP address and port of the key-value service; else "+EnvKeyValue)
	f.DurationVar(&r.timeout, "timeout", defaultTimeout, "time for each call to the key-value service")
}

// dial returns a client of the key-value service.
func (r *remote) dial() (waxwingpick.KeyValue, error) {
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

// load reads the configuration, which has to exist.
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
