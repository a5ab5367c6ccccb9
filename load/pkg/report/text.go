package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"chervilusher.dev/load/pkg/measure"
)

// WriteText prints the main figures of runs, one line a window and class.
func WriteText(out io.Writer, runs ...*measure.Results) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "run\twindow\towner\tclass\tjobs\tin time\tp50\tp99\tcentral p50\tp99\trefused\trefusal p99\tgoodput")
	for _, run := range runs {
		for _, window := range run.Windows {
			for _, row := range window.Rows {
				_, _ = fmt.Fprintf(table, "%s/%d\t%s\t%s\t%s\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%s\t%.3f\n",
					run.Settings.Name, run.Settings.Seed, window.Name, row.Owner, row.Class, row.Jobs, row.InTime,
					row.Ratio.P50, row.Ratio.P99, row.Central.P50, row.Central.P99,
					row.Refusal.Count, row.Refusal.P99, window.Goodput)
			}
		}
	}
	for _, run := range runs {
		_, _ = fmt.Fprintf(table, "%s/%d: %d starts, %.3f messages a start, %.4f wasted, %d repeats, %d duplicates, %d foreign, %d mismatches, tool delay p99 %s\n",
			run.Settings.Name, run.Settings.Seed, run.Totals.Starts, run.Totals.Messages, run.Totals.Wasted,
			run.Totals.Repeats, run.Totals.Duplicates, run.Totals.Foreign, run.Totals.Mismatches, run.Totals.SendLag)
		for _, window := range run.Windows {
			_, _ = fmt.Fprintf(table, "  %s: %d starts, %d at faulty back ends, longest gap %s at %s\n",
				window.Name, window.Starts, window.Faulty, window.Gap.Length, window.Gap.Backend)
			for _, ending := range window.Rows[0].Endings {
				_, _ = fmt.Fprintf(table, "  %s: %d jobs %s %s, run: %s\n", window.Name, ending.Jobs, ending.State, ending.Code, ending.Ran)
			}
		}
		for _, host := range run.Entries {
			_, _ = fmt.Fprintf(table, "  %s: %.0f starts, processor %s, %s a start, %d MB, %d bytes\n",
				host.Host.Name, host.Starts, host.CPU, host.CPUStart, host.Memory>>20, host.Bytes)
		}
	}
	return table.Flush()
}
