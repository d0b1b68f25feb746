package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick/core/burn"
)

// Format is the output format of a report.
type Format string

// The formats of a report.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatHTML  Format = "html"
)

// Exit codes of the burn report, by which scripts distinguish alerts.
const (
	ExitNoAlert = 0
	ExitTicket  = 10
	ExitPage    = 11
)

// BurnExitCode returns the exit code for an alert.
func BurnExitCode(alert burn.Alert) int {
	switch alert {
	case burn.AlertPage:
		return ExitPage
	case burn.AlertTicket:
		return ExitTicket
	case burn.AlertNone:
	}
	return ExitNoAlert
}

// WriteBurn writes the burn report in the format.
func WriteBurn(w io.Writer, format Format, evaluation burn.Evaluation) error {
	switch format {
	case FormatTable:
		return writeBurnTable(w, evaluation)
	case FormatJSON:
		return writeJSON(w, evaluation)
	case FormatHTML:
		return writeBurnPage(w, evaluation)
	}
	return eris.Errorf("unknown format %q: must be table, json or html", format)
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

func writeBurnTable(w io.Writer, evaluation burn.Evaluation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "burn at %s\talert: %s\n\n", evaluation.At.UTC().Format(time.RFC3339), evaluation.Alert)
	fmt.Fprintln(table, "CLASS\tOBJECTIVE\t5M\t1H\t30M\t6H\tBAD IN 6H\tALERT")
	for _, c := range evaluation.Classes {
		fmt.Fprintf(table, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d of %d\t%s\n",
			c.Class, percent(c.Objective),
			c.Rates.FiveMinutes, c.Rates.OneHour, c.Rates.ThirtyMinutes, c.Rates.SixHours,
			c.SixHours.Bad, c.SixHours.Total(), c.Alert)
	}
	if len(evaluation.Burners) > 0 {
		fmt.Fprintln(table, "\nWHO\tNAME\tCLASS\tBAD IN 1H\tSHARE")
	}
	for _, b := range evaluation.Burners {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", b.Key.Dimension, b.Key.Name, b.Key.Class, b.OneHour.Bad, percent(b.Share))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func percent(fraction float64) string {
	return fmt.Sprintf("%.4g%%", 100*fraction)
}
