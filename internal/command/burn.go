package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/reporter"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// burnRow says how fast one customer's error budget is used up in one region.
type burnRow struct {
	Customer string `json:"customer"`
	Region   string `json:"region"`
	// BurnRates are the burn rates over reporter.Windows, shortest first; at 1 the budget is used
	// up exactly in the time for which it is meant.
	BurnRates []float64 `json:"burn"`
	// BudgetLeft is the fraction of the longest window's error budget that is left; it is negative
	// if the budget is overspent.
	BudgetLeft float64               `json:"left"`
	counts     []*schema.WindowCount // one for each of reporter.Windows
}

func addBurnCommand(app *kingpin.Application, actions map[string]action) {
	burn := app.Command("burn", "Show how fast each customer's error budget is used up.")
	actions[burn.FullCommand()] = showBurn
}

func showBurn(ctx context.Context, o *operator) error {
	state, err := o.newestState(ctx)
	if err != nil {
		return err
	}
	rows := map[[2]string]*burnRow{}
	var missingHosts []string
	for _, h := range configurer.FromMessage(state.Snapshot).Hosts() {
		reply, err := o.requestBurn(ctx, h)
		if err != nil {
			missingHosts = append(missingHosts, h.Name)
			continue
		}
		for _, c := range reply.Customers {
			addCounts(rows, reply.Region, c)
		}
	}
	sorted := rankRows(rows)
	err = o.print(sorted, func(w io.Writer) { printBurn(w, sorted) })
	for _, name := range missingHosts {
		fmt.Fprintf(o.stderr, "trefoilctl: no answer from %s; its requests are missing\n", name)
	}
	return err
}

func (o *operator) requestBurn(ctx context.Context, h *schema.Host) (*schema.BurnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	c, err := o.dialer.EntryClient(h.Internal)
	if err != nil {
		return nil, err
	}
	return c.Burn(ctx, &schema.BurnRequest{Token: o.client.Token})
}

func addCounts(rows map[[2]string]*burnRow, region string, c *schema.CustomerBurn) {
	key := [2]string{c.Customer, region}
	r := rows[key]
	if r == nil {
		r = &burnRow{Customer: c.Customer, Region: region}
		for range reporter.Windows {
			r.counts = append(r.counts, &schema.WindowCount{})
		}
		rows[key] = r
	}
	for i, w := range c.Windows {
		if i < len(r.counts) {
			r.counts[i].Total += w.Total
			r.counts[i].Bad += w.Bad
		}
	}
}

// rankRows computes the burn rates and sorts the rows by the rate over one hour, highest first.
func rankRows(rows map[[2]string]*burnRow) []*burnRow {
	for _, r := range rows {
		for _, w := range r.counts {
			r.BurnRates = append(r.BurnRates, reporter.BurnRate(w))
		}
		r.BudgetLeft = 1 - r.BurnRates[len(r.BurnRates)-1]
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b *burnRow) int {
		return cmp.Or(cmp.Compare(b.BurnRates[1], a.BurnRates[1]), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Region, b.Region))
	})
}

func printBurn(w io.Writer, rows []*burnRow) {
	t := newTable(w, "CUSTOMER\tREGION\t5M\t1H\t6H\t3D\tBUDGET LEFT")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f%%\n", r.Customer, r.Region, r.BurnRates[0], r.BurnRates[1], r.BurnRates[2], r.BurnRates[3], 100*r.BudgetLeft)
	}
	_ = t.Flush()
}
