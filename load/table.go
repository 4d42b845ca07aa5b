package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// maxShownViolations bounds the list of violations in the table; the JSON report has all of them.
const maxShownViolations = 20

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "scenario %s, run %s, seed %d, %.1f s\n", r.Scenario, r.Run, r.Seed, r.Seconds)
	fmt.Fprintf(t, "%d requests in %d attempts; %d started more than %s late, at most %.1f ms late\n",
		r.Tasks, r.Attempts, r.LateStarts, lateThreshold, r.MaxStartDelayMS)
	fmt.Fprintf(t, "goodput %.2f/s; worst served %s at %.1f%%; wasted prefill %.2f%% (%d of %d tokens, %d prefills)\n\n",
		r.Goodput, r.WorstOrganisation, 100*r.WorstShare, 100*r.WastedShare(), r.WastedPrefillTokens, r.PrefillTokens, r.WastedPrefills)
	writeGroups(t, "kind", r.Kinds)
	writeGroups(t, "organisation", r.Organisations)
	writeCounts(t, "attempts without an answer, by reason", r.Refused)
	writeCounts(t, "requests within rate without an answer, by last reason", r.RefusedWithinRate)
	for _, p := range r.Processes {
		fmt.Fprintf(t, "process %s\t%.3f cores\t%.1f MB\tended %v\t\n", p.Name, p.Cores, p.PeakMB, p.Ended)
	}
	if len(r.UnreadableStandIns) > 0 {
		fmt.Fprintf(t, "not verified, as statistics could not be read: %v\n", r.UnreadableStandIns)
	}
	r.writeViolations(t)
	return t.Flush()
}

func writeGroups(w io.Writer, title string, all []Group) {
	fmt.Fprintf(w, "%s\toffered\tcomplete\tgood\tcancelled\twithin rate\trefused within rate\tgood share\tfirst p50\tp95\tp99\tper token p50\tp95 ms\t\n", title)
	for _, g := range all {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t\n", g.Name, g.Offered, g.Complete,
			g.Good, g.Cancelled, g.WithinRate, g.RefusedWithinRate, 100*g.GoodShare(), g.FirstByte.P50, g.FirstByte.P95,
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
		fmt.Fprintf(w, "no guarantee violated in %d complete answers\n", r.Answered())
		return
	}
	fmt.Fprintf(w, "%d VIOLATED GUARANTEES\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == maxShownViolations {
			fmt.Fprintf(w, "... and %d more\n", len(r.Violations)-i)
			return
		}
		fmt.Fprintln(w, v.String())
	}
}
