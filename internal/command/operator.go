package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"sigs.k8s.io/yaml"

	"github.com/trefoilloft/trefoilloft/internal/authenticator"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/parser"
	"github.com/trefoilloft/trefoilloft/internal/proposer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Longest wait for a new key to work at every host.
	keyWait = 3 * time.Second
	// Time between two looks at who lags.
	lagPause = 100 * time.Millisecond
)

// operator is what the subcommands of trefoilctl share.
type operator struct {
	stdout   io.Writer
	stderr   io.Writer
	settings string
	token    string
	request  string
	output   string
	timeout  time.Duration

	clock  timer.Service
	client *proposer.Proposer
	dialer *dialer.Dialer
}

// action is a subcommand that was parsed.
type action func(ctx context.Context, o *operator) error

// Operator runs trefoilctl and returns its exit status: 0 done, 1 refused or failed,
// 2 bad command line, 3 outcome unknown.
func Operator(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == traceCommand {
		return traceRequest(args[1:], stdout, stderr)
	}
	app := kingpin.New("trefoilctl", "The operators' command-line client.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	o := &operator{stdout: stdout, stderr: stderr}
	app.Flag("settings", "Settings file that names the control hosts.").Envar("TREFOIL_SETTINGS").Required().StringVar(&o.settings)
	app.Flag("token-file", "File that holds the operator's token.").Envar("TREFOIL_TOKEN").StringVar(&o.token)
	app.Flag("request", "Identity of the change, to send a change again safely.").StringVar(&o.request)
	app.Flag("output", "table or json.").Default("table").EnumVar(&o.output, "table", "json")
	app.Flag("timeout", "Longest wait for an answer.").Default("15s").DurationVar(&o.timeout)
	actions := map[string]action{}
	addSheet(app, actions)
	addKey(app, actions)
	addHost(app, actions)
	addControl(app, actions)
	addGroup(app, actions)
	addShow(app, actions)
	addBurn(app, actions)
	selected, err := app.Parse(args)
	if err != nil {
		return usage(stderr, app, err)
	}
	if err := o.open(); err != nil {
		return report(stderr, app.Name, err)
	}
	defer o.dialer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	go func() { _ = o.clock.Run(ctx) }()
	err = actions[selected](ctx, o)
	if errors.Is(err, proposer.ErrUnknown) {
		fmt.Fprintf(stderr, "%s: %v\n", app.Name, err)
		return exitUnknown
	}
	return report(stderr, app.Name, err)
}

// open reads the settings and the token. Only the control hosts are needed.
func (o *operator) open() error {
	b, err := os.ReadFile(o.settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSettings, err)
	}
	j, err := yaml.YAMLToJSONStrict(b)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrSettings, o.settings, err)
	}
	s := &schema.Settings{}
	if err := protojson.Unmarshal(j, s); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrSettings, o.settings, err)
	}
	if len(s.Controls) == 0 {
		return fmt.Errorf("%w: %s: field controls: is empty", ErrSettings, o.settings)
	}
	if o.token == "" {
		o.token = filepath.Join(filepath.Dir(o.settings), "token")
	}
	token, err := os.ReadFile(o.token)
	if err != nil {
		return fmt.Errorf("operator token: %w", err)
	}
	o.dialer = &dialer.Dialer{Mutual: s.Mutual, Timer: &o.clock}
	o.client = &proposer.Proposer{
		Dialer: o.dialer, Controls: s.Controls, Token: strings.TrimSpace(string(token)), Timer: &o.clock,
	}
	return nil
}

// propose sends a change and prints the version that it gave.
func (o *operator) propose(ctx context.Context, c *schema.Command) error {
	c.Request = o.request
	if c.Request == "" {
		c.Request = proposer.NewRequest()
	}
	result, err := o.client.Propose(ctx, c)
	if errors.Is(err, proposer.ErrUnknown) {
		return fmt.Errorf("%w (--request %s)", err, c.Request)
	}
	if err != nil {
		return err
	}
	return o.print(struct {
		Version uint64 `json:"version"`
	}{result.Version}, func(w io.Writer) { fmt.Fprintf(w, "accepted: version %d\n", result.Version) })
}

// print writes a value as JSON or as a table.
func (o *operator) print(v any, table func(io.Writer)) error {
	if o.output == "json" {
		return json.NewEncoder(o.stdout).Encode(v)
	}
	table(o.stdout)
	return nil
}

// newest returns the state of the control host with the newest configuration: the
// leader's if there is one.
func (o *operator) newest(ctx context.Context) (*schema.StateReply, error) {
	var best *schema.StateReply
	for _, s := range o.client.States(ctx) {
		if s != nil && (best == nil || s.Leader || (!best.Leader && s.Version > best.Version)) {
			best = s
		}
	}
	if best == nil {
		return nil, proposer.ErrUnknown
	}
	return best, nil
}

func addSheet(app *kingpin.Application, actions map[string]action) {
	sheet := app.Command("sheet", "Work with the sheet.")
	check := sheet.Command("check", "Check a sheet without sending it.")
	checkFile := check.Arg("file", "The sheet.").Required().String()
	actions[check.FullCommand()] = func(_ context.Context, o *operator) error {
		s, err := readSheet(*checkFile)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.stdout, "sheet %d: %d rows are valid\n", s.Number, len(s.Items))
		return nil
	}
	plan := sheet.Command("plan", "Show what a sheet would change.")
	planFile := plan.Arg("file", "The sheet.").Required().String()
	actions[plan.FullCommand()] = func(ctx context.Context, o *operator) error { return planSheet(ctx, o, *planFile) }
	apply := sheet.Command("apply", "Put a sheet in force, whole.")
	applyFile := apply.Arg("file", "The sheet.").Required().String()
	removals := apply.Flag("allow-removals", "Allow it to remove most customers.").Bool()
	wait := apply.Flag("wait", "Wait until it is in force at every host.").Bool()
	actions[apply.FullCommand()] = func(ctx context.Context, o *operator) error {
		return applySheet(ctx, o, *applyFile, *removals, *wait)
	}
	export := sheet.Command("export", "Write the sheet in force.")
	actions[export.FullCommand()] = func(ctx context.Context, o *operator) error {
		state, err := o.newest(ctx)
		if err != nil {
			return err
		}
		s := configurer.FromMessage(state.Snapshot)
		return parser.Export(o.stdout, &parser.Sheet{Number: s.Item("sheet").GetSheet().GetNumber(), Items: s.Items()})
	}
}

func readSheet(path string) (*parser.Sheet, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s, err := parser.Parse(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func planSheet(ctx context.Context, o *operator, path string) error {
	sheet, err := readSheet(path)
	if err != nil {
		return err
	}
	state, err := o.newest(ctx)
	if err != nil {
		return err
	}
	before := configurer.FromMessage(state.Snapshot)
	for _, it := range configurer.Diff(before, sheet.Items) {
		sign := "+"
		switch {
		case it.Removed:
			sign = "-"
		case before.Item(it.Path) != nil:
			sign = "~"
		}
		fmt.Fprintf(o.stdout, "%s %s\n", sign, it.Path)
	}
	return nil
}

func applySheet(ctx context.Context, o *operator, path string, removals, wait bool) error {
	sheet, err := readSheet(path)
	if err != nil {
		return err
	}
	err = o.propose(ctx, &schema.Command{Op: &schema.Command_Apply{Apply: &schema.ApplySheet{
		Number: sheet.Number, Hash: sheet.Hash(), Items: sheet.Items, Removals: removals,
	}}})
	if err != nil || !wait {
		return err
	}
	version, err := waitInForce(ctx, o)
	if err == nil {
		fmt.Fprintf(o.stdout, "in force everywhere: version %d\n", version)
	}
	return err
}

// warnLagging waits a little until a new key works everywhere, and names the hosts at
// which it does not yet.
func warnLagging(ctx context.Context, o *operator) {
	ctx, cancel := context.WithTimeout(ctx, keyWait)
	defer cancel()
	if _, err := waitInForce(ctx, o); err != nil {
		fmt.Fprintf(o.stderr, "trefoilctl: the key is accepted but %v\n", err)
	}
}

// errLagging says that some hosts do not have the newest configuration yet.
var errLagging = errors.New("not in force everywhere")

// waitInForce waits until every host reports the newest version, and returns it, or names
// the hosts that do not.
func waitInForce(ctx context.Context, o *operator) (uint64, error) {
	for {
		state, err := o.newest(ctx)
		if err != nil {
			return 0, err
		}
		lagging := laggards(state)
		if len(lagging) == 0 {
			return state.Version, nil
		}
		if err := o.clock.Sleep(ctx, lagPause); err != nil {
			return 0, fmt.Errorf("%w: %s", errLagging, strings.Join(lagging, ", "))
		}
	}
}

func laggards(state *schema.StateReply) []string {
	versions := map[string]uint64{}
	for _, h := range state.Hosts {
		versions[h.Host] = h.Version
	}
	var out []string
	for _, h := range configurer.FromMessage(state.Snapshot).Hosts() {
		if versions[h.Name] < state.Version {
			out = append(out, h.Name)
		}
	}
	return out
}

func addKey(app *kingpin.Application, actions map[string]action) {
	key := app.Command("key", "Work with callers' keys.")
	issue := key.Command("issue", "Issue a key; it is shown once.")
	customer := issue.Arg("customer", "Customer.").Required().String()
	actions[issue.FullCommand()] = func(ctx context.Context, o *operator) error { return issueKey(ctx, o, *customer) }
	withdraw := key.Command("withdraw", "Withdraw keys by label or hash.")
	names := withdraw.Arg("key", "Labels or hashes.").Required().Strings()
	via := withdraw.Flag("via", "Internal address of an entry host, for a region that is cut off.").String()
	actions[withdraw.FullCommand()] = func(ctx context.Context, o *operator) error { return withdrawKeys(ctx, o, *names, *via) }
	list := key.Command("list", "List keys.")
	actions[list.FullCommand()] = listKeys
}

func issueKey(ctx context.Context, o *operator, customer string) error {
	secret, label := authenticator.Generate()
	hash, err := authenticator.Hash(secret)
	if err != nil {
		return err
	}
	c := &schema.Command{Request: o.request, Op: &schema.Command_Issue{Issue: &schema.Key{
		Hash: hash, Customer: customer, Label: label, Issued: time.Now().Unix(),
	}}}
	if _, err := o.client.Propose(ctx, c); err != nil {
		return err
	}
	defer warnLagging(ctx, o)
	return o.print(struct {
		Key   string `json:"key"`
		Label string `json:"label"`
	}{secret, label}, func(w io.Writer) { fmt.Fprintln(w, secret) })
}

// withdrawKeys withdraws through the control hosts, or through one entry host without them.
func withdrawKeys(ctx context.Context, o *operator, names []string, via string) error {
	hashes, err := resolveKeys(ctx, o, names)
	if err != nil {
		return err
	}
	if via == "" {
		return o.propose(ctx, &schema.Command{Op: &schema.Command_Withdraw{Withdraw: &schema.WithdrawKeys{Hashes: hashes}}})
	}
	c, err := o.dialer.Entry(via)
	if err != nil {
		return err
	}
	if _, err := c.Withdraw(ctx, &schema.WithdrawRequest{Hashes: hashes, Token: o.client.Token}); err != nil {
		return err
	}
	fmt.Fprintf(o.stdout, "accepted by %s\n", via)
	return nil
}

// resolveKeys turns labels into hashes. Whole hashes and keys need no control host.
func resolveKeys(ctx context.Context, o *operator, names []string) ([]string, error) {
	var hashes []string
	var state *schema.StateReply
	for _, n := range names {
		if hash, err := authenticator.Hash(n); err == nil {
			hashes = append(hashes, hash)
			continue
		}
		if len(n) == 64 {
			hashes = append(hashes, n)
			continue
		}
		if state == nil {
			var err error
			if state, err = o.newest(ctx); err != nil {
				return nil, err
			}
		}
		found := ""
		for _, it := range state.Snapshot.Items {
			if k := it.GetKey(); k != nil && k.Label == n {
				found = k.Hash
			}
		}
		if found == "" {
			return nil, fmt.Errorf("no key has the label %q", n)
		}
		hashes = append(hashes, found)
	}
	return hashes, nil
}
