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
	p := l.parts[c.Name]
	r := Result{
		Customer: c.Name, Sent: p.sent, Whole: p.whole, Tokens: p.tokens, Refused: p.codes,
		FirstP50: quantile(p, 50), FirstP95: quantile(p, 95), FirstP99: quantile(p, 99),
		GapP95: float64(p.gap.ValueAtQuantile(95)) / 1000,
	}
	r.Wrongful, r.Overshoot = l.audit(c)
	return r
}

func quantile(p *part, q float64) float64 { return float64(p.first.ValueAtQuantile(q)) / 1000 }

// audit replays a customer's requests through one bucket of its rate and burst.
func (l *Loader) audit(c Customer) (wrongful int, overshoot float64) {
	if c.Rate == 0 {
		return 0, 0
	}
	var mine []event
	for _, e := range l.events {
		if e.customer == c.Name {
			mine = append(mine, e)
		}
	}
	slices.SortFunc(mine, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	level, last := c.Burst, 0.0
	need := 2 * float64(max(c.Tokens, variedLimit)) // tokens of the prompt and the answer, at most
	for _, e := range mine {
		now := e.at.Seconds()
		level = math.Min(c.Burst, level+(now-last)*c.Rate)
		last = now
		if e.limited && level >= need {
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
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.0f\t%s\n", r.Customer, r.Sent, r.Whole, r.Tokens,
			r.FirstP50, r.FirstP95, r.FirstP99, r.GapP95, r.Wrongful, r.Overshoot, codes(r.Refused))
	}
	return t.Flush()
}

func codes(m map[string]int) string {
	var out []string
	for code, n := range m {
		out = append(out, fmt.Sprintf("%s=%d", code, n))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}
