package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func listKeys(ctx context.Context, o *operator) error {
	state, err := o.newestState(ctx)
	if err != nil {
		return err
	}
	type row struct {
		Label     string `json:"label"`
		Customer  string `json:"customer"`
		Hash      string `json:"hash"`
		Withdrawn bool   `json:"withdrawn"`
	}
	var rows []row
	for _, it := range state.Snapshot.Items {
		if k := it.GetKey(); k != nil {
			rows = append(rows, row{k.Label, k.Customer, k.Hash, k.Withdrawn})
		}
	}
	return o.print(rows, func(w io.Writer) {
		t := newTable(w, "LABEL\tCUSTOMER\tWITHDRAWN\tHASH")
		for _, r := range rows {
			fmt.Fprintf(t, "%s\t%s\t%v\t%s\n", r.Label, r.Customer, r.Withdrawn, r.Hash)
		}
		_ = t.Flush()
	})
}

func newTable(w io.Writer, header string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, header)
	return t
}

func addHostCommands(app *kingpin.Application, actions map[string]action) {
	host := app.Command("host", "Drain or remove entry hosts.")
	drain := host.Command("drain", "Remove a host from the list of entry hosts; it keeps serving the callers it has.")
	drainName := drain.Arg("host", "Host.").Required().String()
	actions[drain.FullCommand()] = func(ctx context.Context, o *operator) error {
		return o.propose(ctx, &schema.Command{Op: &schema.Command_Drain{Drain: &schema.DrainHost{Name: *drainName}}})
	}
	remove := host.Command("remove", "Remove a host whose process has ended.")
	removeName := remove.Arg("host", "Host.").Required().String()
	actions[remove.FullCommand()] = func(ctx context.Context, o *operator) error {
		return o.propose(ctx, &schema.Command{Op: &schema.Command_Remove{Remove: &schema.RemoveHost{Name: *removeName}}})
	}
}

func addControlCommands(app *kingpin.Application, actions map[string]action) {
	control := app.Command("control", "Add, promote, list or remove control hosts.")
	add := control.Command("add", "Add a control host as a learner.")
	addName := add.Arg("name", "Name.").Required().String()
	addID := add.Flag("id", "Identity that init --join printed.").Required().Uint64()
	addAddress := add.Flag("address", "Internal address.").Required().String()
	actions[add.FullCommand()] = func(ctx context.Context, o *operator) error {
		return o.client.ChangeMember(ctx, &schema.MemberChange{Add: &schema.Member{Id: *addID, Name: *addName, Address: *addAddress}})
	}
	promote := control.Command("promote", "Make a learner a voter.")
	promoteID := promote.Flag("id", "Identity.").Required().Uint64()
	actions[promote.FullCommand()] = func(ctx context.Context, o *operator) error {
		return o.client.ChangeMember(ctx, &schema.MemberChange{Promote: *promoteID})
	}
	list := control.Command("list", "List control hosts.")
	actions[list.FullCommand()] = listControls
	remove := control.Command("remove", "Remove a control host.")
	removeID := remove.Flag("id", "Identity.").Required().Uint64()
	actions[remove.FullCommand()] = func(ctx context.Context, o *operator) error {
		return o.client.ChangeMember(ctx, &schema.MemberChange{Remove: *removeID})
	}
}

func listControls(ctx context.Context, o *operator) error {
	state, err := o.newestState(ctx)
	if err != nil {
		return err
	}
	return o.print(state.Members, func(w io.Writer) {
		t := newTable(w, "CONTROL\tIDENTITY\tADDRESS\tVOTER")
		for _, m := range state.Members {
			fmt.Fprintf(t, "%s\t%d\t%s\t%v\n", m.Name, m.Id, m.Address, m.Voter)
		}
		_ = t.Flush()
	})
}

func addGroupCommands(app *kingpin.Application, actions map[string]action) {
	group := app.Command("group", "Show or reset the group of hosts that holds a region's idempotency records.")
	show := group.Command("show", "List a region's holders and their states.")
	showRegion := show.Arg("region", "Region.").Required().String()
	actions[show.FullCommand()] = func(ctx context.Context, o *operator) error { return showGroup(ctx, o, *showRegion) }
	reset := group.Command("reset", "Let a group that lost its records serve again; calls recorded earlier may run again.")
	resetRegion := reset.Arg("region", "Region.").Required().String()
	accept := reset.Flag("accept-lost-records", "Confirm that the lost records are accepted.").Required().Bool()
	actions[reset.FullCommand()] = func(ctx context.Context, o *operator) error {
		state, err := o.newestState(ctx)
		if err != nil {
			return err
		}
		old := configurer.FromMessage(state.Snapshot).Group(*resetRegion)
		if old == nil || !*accept {
			return fmt.Errorf("region %q has no group of record holders", *resetRegion)
		}
		next := &schema.Group{Region: *resetRegion, Version: old.Version + 1, Holders: old.Holders, Reset_: true}
		return o.propose(ctx, &schema.Command{Op: &schema.Command_Group{Group: next}})
	}
}

func showGroup(ctx context.Context, o *operator, region string) error {
	state, err := o.newestState(ctx)
	if err != nil {
		return err
	}
	g := configurer.FromMessage(state.Snapshot).Group(region)
	type row struct {
		Host  string `json:"host"`
		State string `json:"state"`
	}
	var rows []row
	for _, holder := range g.GetHolders() {
		r := row{holder, "surveying"}
		for _, h := range state.Hosts {
			if h.Host == holder && h.Ready[region] == g.Version {
				r.State = "ready"
			}
		}
		rows = append(rows, r)
	}
	return o.print(rows, func(w io.Writer) {
		t := newTable(w, "HOLDER\tSTATE")
		for _, r := range rows {
			fmt.Fprintf(t, "%s\t%s\n", r.Host, r.State)
		}
		_ = t.Flush()
	})
}

func addStatusCommands(app *kingpin.Application, actions map[string]action) {
	status := app.Command("status", "Show control hosts, entry hosts and how many versions each entry host lags behind.")
	actions[status.FullCommand()] = showStatus
	config := app.Command("config", "Show the configuration's history.")
	history := config.Command("history", "List accepted changes.")
	actions[history.FullCommand()] = showHistory
}

func showStatus(ctx context.Context, o *operator) error {
	states := o.client.States(ctx)
	best, err := o.newestState(ctx)
	if err != nil {
		return err
	}
	return o.print(best, func(w io.Writer) {
		t := newTable(w, "CONTROL\tROLE\tTERM\tCOMMIT\tVERSION")
		for i, c := range o.client.ControlHosts {
			s := states[i]
			if s == nil {
				fmt.Fprintf(t, "%s\tno answer\t\t\t\n", c.Name)
				continue
			}
			role := "follower of " + s.Leadername
			if s.Leader {
				role = "leader"
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\n", s.Name, role, s.Term, s.Commit, s.Version)
		}
		_ = t.Flush()
		fmt.Fprintln(w)
		printHosts(w, best)
	})
}

func printHosts(w io.Writer, state *schema.StateReply) {
	versions := map[string]uint64{}
	for _, h := range state.Hosts {
		versions[h.Host] = h.Version
	}
	t := newTable(w, "HOST\tREGION\tDOMAIN\tSTATE\tSHARE\tVERSION\tLAG")
	for _, h := range configurer.FromMessage(state.Snapshot).Hosts() {
		lag := state.Version - min(state.Version, versions[h.Name])
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.1f%%\t%d\t%d\n", h.Name, h.Region, h.Domain, stateName(h.State),
			float64(h.Share)*100/configurer.TotalShare, versions[h.Name], lag)
	}
	_ = t.Flush()
}

func stateName(s schema.HostState) string {
	switch s {
	case schema.HostState_HOST_ACTIVE:
		return "active"
	case schema.HostState_HOST_DRAINING:
		return "draining"
	case schema.HostState_HOST_JOINING:
		return "joining"
	}
	return "unknown"
}

func showHistory(ctx context.Context, o *operator) error {
	state, err := o.newestState(ctx)
	if err != nil {
		return err
	}
	return o.print(state.History, func(w io.Writer) {
		t := newTable(w, "VERSION\tTIME\tOPERATOR\tSHEET\tCHANGE")
		for _, c := range state.History {
			sheet := ""
			if c.Sheet != 0 {
				sheet = fmt.Sprint(c.Sheet)
			}
			fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", c.Version, time.Unix(c.Time, 0).UTC().Format(time.RFC3339), c.Operator, sheet, c.Summary)
		}
		_ = t.Flush()
	})
}
