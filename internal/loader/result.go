package loader

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
)

func (l *Loader) result(c Customer) Result {
	s := l.stats[c.Name]
	r := Result{
		Customer: c.Name, Sent: s.sent, Complete: s.complete, Tokens: s.tokens, FailuresByCode: s.failures,
		FirstTokenP50Ms: firstTokenMs(s, 50), FirstTokenP95Ms: firstTokenMs(s, 95), FirstTokenP99Ms: firstTokenMs(s, 99),
		TokenGapP95Ms: float64(s.tokenGap.ValueAtQuantile(95)) / 1000,
	}
	r.WrongfulRejections, r.OvershootTokens = l.audit(c)
	return r
}

func firstTokenMs(s *customerStats, percentile float64) float64 {
	return float64(s.firstToken.ValueAtQuantile(percentile)) / 1000
}

// audit replays a customer's requests through a single bucket with its rate and burst. It returns
// the number of rejections that the bucket would not have made, and the most by which it was
// overdrawn, in tokens. Without a rate both are 0.
func (l *Loader) audit(c Customer) (wrongful int, overshoot float64) {
	if c.Rate == 0 {
		return 0, 0
	}
	var entries []auditEntry
	for _, e := range l.auditEntries {
		if e.customer == c.Name {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b auditEntry) int { return cmp.Compare(a.at, b.at) })
	level, last := c.Burst, 0.0
	maxRequestTokens := 2 * float64(max(c.Tokens, maxVariedTokens)) // of the prompt and the answer
	for _, e := range entries {
		now := e.at.Seconds()
		level = math.Min(c.Burst, level+(now-last)*c.Rate)
		last = now
		if e.overRate && level >= maxRequestTokens {
			wrongful++
		}
		level -= e.tokens
		overshoot = math.Max(overshoot, -level)
	}
	return wrongful, overshoot
}

// Print writes results as a table.
func Print(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "CUSTOMER\tSENT\tWHOLE\tTOKENS\tFIRST P50\tP95\tP99 MS\tGAP P95 MS\tWRONGFUL\tOVERSHOOT\tREFUSED")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.0f\t%s\n", r.Customer, r.Sent, r.Complete, r.Tokens,
			r.FirstTokenP50Ms, r.FirstTokenP95Ms, r.FirstTokenP99Ms, r.TokenGapP95Ms, r.WrongfulRejections, r.OvershootTokens, formatCounts(r.FailuresByCode))
	}
	return t.Flush()
}

func formatCounts(counts map[string]int) string {
	var pairs []string
	for code, count := range counts {
		pairs = append(pairs, fmt.Sprintf("%s=%d", code, count))
	}
	sort.Strings(pairs)
	return strings.Join(pairs, " ")
}
