package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// shownViolations bounds the list in the table; the JSON report has all.
const shownViolations = 20

// WriteTable prints the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "scenario %s, run %s, seed %d, %.1f s\n", r.Scenario, r.Run, r.Seed, r.Seconds)
	fmt.Fprintf(t, "%d requests in %d attempts; %d started over %s late, the latest %.1f ms\n",
		r.Tasks, r.Attempts, r.LateStarts, lateAfter, r.LatestMS)
	fmt.Fprintf(t, "goodput %.2f/s; worst served %s at %.1f%%; wasted prefill %.2f%% (%d of %d tokens, %d prefills)\n\n",
		r.Goodput, r.Worst, 100*r.WorstShare, 100*r.WastedShare(), r.WastedPrefillTokens, r.PrefillTokens, r.WastedPrefills)
	writeGroups(t, "kind", r.Kinds)
	writeGroups(t, "organisation", r.Organisations)
	writeCounts(t, "attempts without an answer, by reason", r.Refused)
	writeCounts(t, "requests within rate without an answer, by last reason", r.RefusedInRate)
	for _, p := range r.Processes {
		fmt.Fprintf(t, "process %s\t%.3f cores\t%.1f MB\tended %v\t\n", p.Name, p.Cores, p.PeakMB, p.Ended)
	}
	if len(r.Unchecked) > 0 {
		fmt.Fprintf(t, "not checked against, no stats: %v\n", r.Unchecked)
	}
	r.writeViolations(t)
	return t.Flush()
}

func writeGroups(w io.Writer, title string, all []Group) {
	fmt.Fprintf(w, "%s\toffered\twhole\tgood\tcancelled\tin rate\trefused in rate\tgood share\tfirst p50\tp95\tp99\tper token p50\tp95 ms\t\n", title)
	for _, g := range all {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t\n", g.Name, g.Offered, g.Whole,
			g.Good, g.Cancelled, g.InRate, g.RefusedInRate, 100*g.GoodShare(), g.FirstByte.P50, g.FirstByte.P95,
			g.FirstByte.P99, g.PerToken.P50, g.PerToken.P95)
	}
	fmt.Fprintln(w)
}

func writeCounts(w io.Writer, title string, counts map[string]int) {
	fmt.Fprintf(w, "%s:", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, " %s=%d", name, counts[name])
	}
	fmt.Fprintf(w, "\n\n")
}

func (r *Report) writeViolations(w io.Writer) {
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "no promise broken in %d whole answers\n", r.Answered())
		return
	}
	fmt.Fprintf(w, "%d BROKEN PROMISES\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == shownViolations {
			fmt.Fprintf(w, "... and %d more\n", len(r.Violations)-i)
			return
		}
		fmt.Fprintln(w, v.String())
	}
}
