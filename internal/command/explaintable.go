package command

import (
	"cmp"
	"fmt"
	"io"
	"strings"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func printExplanation(w io.Writer, m *schema.ExplainReply) {
	printHost(w, m.Host, m.Region, m.Version, m.Certainty, m.Adaptive)
	if m.Route != "" {
		homes := "any region"
		if m.Bound {
			homes = cmp.Or(strings.Join(m.Homes, ", "), "no region")
		}
		fmt.Fprintf(w, "route %s, customer %s, priority %d, may be served in %s\n", m.Route, cmp.Or(m.Customer, "none"), m.Priority, homes)
	}
	printLimit(w, m.Limit)
	if m.Outcome != nil {
		fmt.Fprintf(w, "\n%s\n", outcomeText(m.Outcome))
	}
	for _, p := range m.Pools {
		fmt.Fprintf(w, "\npool %s, chance %s: %s\n", p.Pool, percent(p.Chance), outcomeText(p.Outcome))
		ordered := ""
		if p.Ordered {
			ordered = ", ordered by customer, which is left out here"
		}
		fmt.Fprintf(w, "load of hosts %s, of regions %s, waiting here %d%s\n\n", ageText(p.Loads), ageText(p.Digests), p.Waiting, ordered)
		t := newTable(w, "REGION\tLOAD\tSLOTS\tCHANCE\tFULL\tREASON")
		for _, x := range p.Regions {
			fmt.Fprintf(t, "%s\t%.2f\t%.0f\t%s\t%v\t%s\n", x.Region, x.Load, x.Slots, percent(x.Chance), x.Full, cmp.Or(x.Reason, "-"))
		}
		_ = t.Flush()
		if len(p.Upstreams) > 0 {
			fmt.Fprintln(w)
			printUpstreams(w, p.Upstreams, m.Adaptive)
		}
	}
}

func printUpstreams(w io.Writer, all []*schema.ExplainedUpstream, adaptive bool) {
	header := "UPSTREAM\tCONDITION\tREASON\tPREFERRED\tCHANCE\tEXPECTED\tCOST\tREADS\tCACHED\tRUNNING\tOTHERS\tAGE"
	if adaptive {
		header += "\tANSWER\tWORK\tLEFT\tCAUSES\tLOSES\tHELD\tNEEDS\tMEMORY\tSPEED\tSTEP"
	}
	t := newTable(w, header)
	for _, u := range all {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%s\t%.3fs\t%.3fs\t%d\t%d\t%d\t%d\t%.1fs", u.Upstream, u.Condition, cmp.Or(u.Reason, "-"), u.Preferred, percent(u.Chance),
			u.Expected, u.Cost, u.Uncached, u.Cached, u.Running, u.Others, u.Age)
		if adaptive {
			fmt.Fprintf(t, "\t%.0f\t%.3fs\t%.3fs\t%.3fs\t%.3fs\t%d\t%d\t%d\t%.0f/s\t%.1fms", u.Output, u.Work, u.Left, u.Caused, u.Lost, u.Held, u.Needed, u.Memory, u.Speed, 1000*u.Step)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
}

func printEntryState(w io.Writer, m *schema.EntryStateReply) {
	printHost(w, m.Host, m.Region, m.Version, m.Certainty, m.Adaptive)
	fmt.Fprintf(w, "requests in progress %d, load of hosts %s, of regions %s\n", m.Inflight, ageText(m.Loads), ageText(m.Digests))
	fmt.Fprintf(w, "streams held for slow callers %d bytes, times full %d, responses held %d bytes\n", m.Streams, m.Waits, m.Responses)
	printLimit(w, m.Limit)
	for _, p := range m.Assignments {
		used := "in use"
		if !p.Used {
			used = "not in use"
		}
		fmt.Fprintf(w, "\nassignment of pool %s, computed %s, %s, factor %.2f\n", p.Pool, ageText(p.Age), used, p.Factor)
		t := newTable(w, "REGION\tCAPACITY\tUTILIZATION")
		for _, x := range p.Regions {
			fmt.Fprintf(t, "%s\t%.2f\t%.2f\n", x.Region, x.Capacity, x.Utilization)
		}
		_ = t.Flush()
		fmt.Fprintln(w)
		t = newTable(w, "HOMES\tCALLERS\tDEMAND\tSHARED")
		for _, x := range p.Demands {
			fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\n", cmp.Or(x.Homes, "any"), x.Caller, x.Work, x.Shared)
		}
		_ = t.Flush()
		fmt.Fprintln(w)
		t = newTable(w, "HOMES\tCALLERS\tKEPT\tWEIGHTS")
		for _, x := range p.Weights {
			var weights []string
			for i, v := range x.Weights {
				weights = append(weights, fmt.Sprintf("%s %.2f", p.Regions[i].Region, v))
			}
			fmt.Fprintf(t, "%s\t%s\t%v\t%s\n", cmp.Or(x.Homes, "any"), cmp.Or(x.Caller, "all, shared prefix"), x.Kept, strings.Join(weights, ", "))
		}
		_ = t.Flush()
	}
	fmt.Fprintln(w)
	t := newTable(w, "UPSTREAM\tPOOL\tCONDITION\tSLOTS\tRUNNING\tOTHERS\tAGE\tWORK\tHELD\tMEMORY\tSPEED\tSTEP")
	for _, u := range m.Upstreams {
		estimates := "-\t-\t-\t-\t-"
		if u.Speed > 0 {
			estimates = fmt.Sprintf("%.3fs\t%d\t%d\t%.0f/s\t%.1fms", u.Work, u.Held, u.Memory, u.Speed, 1000*u.Step)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%.1fs\t%s\n", u.Upstream, u.Pool, u.Condition, u.Slots, u.Running, u.Others, u.Age, estimates)
	}
	_ = t.Flush()
}

func printHost(w io.Writer, host, region string, version uint64, certainty float64, adaptive bool) {
	mode := ""
	if adaptive {
		mode = ", adaptive mode"
	}
	fmt.Fprintf(w, "host %s, region %s, configuration %d confirmed %s%s\n", host, region, version, ageText(certainty), mode)
}

func printLimit(w io.Writer, l *schema.ExplainedLimit) {
	if l == nil {
		return
	}
	fmt.Fprintf(w, "customer %s: %.0f tokens/s, burst %.0f; here %.0f saved, %.0f borrowed, share %.0f tokens/s, burst %.0f, for %.1fs; demand here %.0f tokens/s\n",
		l.Customer, l.Rate, l.Burst, l.Level, l.Borrowed, l.Share, l.Capacity, l.Left, l.Demand)
	switch {
	case l.Missing > 0 && l.Retry > 0:
		fmt.Fprintf(w, "the request needs %.0f tokens, of which %.0f are missing; a control host is asked in %.3fs\n", l.Tokens, l.Missing, l.Retry)
	case l.Missing > 0:
		fmt.Fprintf(w, "the request needs %.0f tokens, of which a control host must lend %.0f first\n", l.Tokens, l.Missing)
	case l.Tokens > 0:
		fmt.Fprintf(w, "the request needs %.0f tokens, which are here\n", l.Tokens)
	}
}

func outcomeText(o *schema.ExplainedOutcome) string {
	switch o.Kind {
	case "sent":
		return "sent to " + o.Upstream
	case "waits":
		return fmt.Sprintf("waits for a slot, %.3fs expected, at most %.3fs", o.Wait, o.Limit)
	case "passed":
		text := "passed to " + strings.Join(o.Regions, ", then ")
		if o.Otherwise != nil {
			text += "; if not taken there, " + outcomeText(o.Otherwise)
		}
		return text
	}
	return fmt.Sprintf("refused with %d (%s), Retry-After %.3fs", o.Status, o.Cause, o.Retry)
}

func ageText(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs ago", seconds)
}

func percent(x float64) string { return fmt.Sprintf("%.0f%%", 100*x) }
