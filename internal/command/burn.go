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

// burnRow is one customer's service level in one region.
type burnRow struct {
	Customer string `json:"customer"`
	Region   string `json:"region"`
	// Burn rates, shortest window first.
	Burn []float64 `json:"burn"`
	// Left is the part of the longest window's error budget that is left.
	Left   float64 `json:"left"`
	counts []*schema.WindowCount
}

func addBurn(app *kingpin.Application, actions map[string]action) {
	burn := app.Command("burn", "Show how fast customers' service levels use up their error budgets.")
	actions[burn.FullCommand()] = showBurn
}

func showBurn(ctx context.Context, o *operator) error {
	state, err := o.newest(ctx)
	if err != nil {
		return err
	}
	rows := map[[2]string]*burnRow{}
	var silent []string
	for _, h := range configurer.FromMessage(state.Snapshot).Hosts() {
		reply, err := o.askBurn(ctx, h)
		if err != nil {
			silent = append(silent, h.Name)
			continue
		}
		for _, c := range reply.Customers {
			addCounts(rows, reply.Region, c)
		}
	}
	sorted := finishRows(rows)
	err = o.print(sorted, func(w io.Writer) { printBurn(w, sorted) })
	for _, name := range silent {
		fmt.Fprintf(o.stderr, "trefoilctl: no answer from %s; its requests are missing\n", name)
	}
	return err
}

func (o *operator) askBurn(ctx context.Context, h *schema.Host) (*schema.BurnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, keyWait)
	defer cancel()
	c, err := o.dialer.Entry(h.Internal)
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

// finishRows works out the rates; the customer that is served worst comes first.
func finishRows(rows map[[2]string]*burnRow) []*burnRow {
	for _, r := range rows {
		for _, w := range r.counts {
			r.Burn = append(r.Burn, reporter.Burn(w))
		}
		r.Left = 1 - r.Burn[len(r.Burn)-1]
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b *burnRow) int {
		return cmp.Or(cmp.Compare(b.Burn[1], a.Burn[1]), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Region, b.Region))
	})
}

func printBurn(w io.Writer, rows []*burnRow) {
	t := table(w, "CUSTOMER\tREGION\t5M\t1H\t6H\t3D\tBUDGET LEFT")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f%%\n", r.Customer, r.Region, r.Burn[0], r.Burn[1], r.Burn[2], r.Burn[3], 100*r.Left)
	}
	_ = t.Flush()
}
