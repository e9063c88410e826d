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
	// Timeout for a new key to be in force at every host, and for one host to answer a burn
	// request.
	hostTimeout = 3 * time.Second
	// Interval between checks of which hosts lag behind the newest version.
	lagPollInterval = 100 * time.Millisecond
)

// operator holds the flags and clients that the subcommands of trefoilctl share.
type operator struct {
	stdout       io.Writer
	stderr       io.Writer
	settingsPath string
	tokenPath    string
	requestID    string
	outputFormat string
	timeout      time.Duration

	clock  timer.Service
	client *proposer.Proposer
	dialer *dialer.Dialer
}

// action runs a subcommand whose arguments have been parsed.
type action func(ctx context.Context, o *operator) error

// RunOperator runs trefoilctl and returns its exit status: 0 done, 1 rejected or
// failed, 2 invalid command line, 3 outcome unknown.
func RunOperator(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == traceCommand {
		return traceRequest(args[1:], stdout, stderr)
	}
	if len(args) > 0 && args[0] == explainCommand {
		return explain(args[1:], stdout, stderr)
	}
	app := kingpin.New("trefoilctl", "The operators' command-line client.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	o := &operator{stdout: stdout, stderr: stderr}
	app.Flag("settings", "Settings file that names the control hosts.").Envar("TREFOIL_SETTINGS").Required().StringVar(&o.settingsPath)
	app.Flag("token-file", "File that holds the operator's token.").Envar("TREFOIL_TOKEN").StringVar(&o.tokenPath)
	app.Flag("request", "Request ID of the change; reuse it to send the same change again safely.").StringVar(&o.requestID)
	app.Flag("output", "table or json.").Default("table").EnumVar(&o.outputFormat, "table", "json")
	app.Flag("timeout", "Timeout for the whole command.").Default("15s").DurationVar(&o.timeout)
	actions := map[string]action{}
	addSheetCommands(app, actions)
	addKeyCommands(app, actions)
	addHostCommands(app, actions)
	addControlCommands(app, actions)
	addGroupCommands(app, actions)
	addStatusCommands(app, actions)
	addBurnCommand(app, actions)
	selected, err := app.Parse(args)
	if err != nil {
		return reportUsageError(stderr, app, err)
	}
	if err := o.setUp(); err != nil {
		return reportError(stderr, app.Name, err)
	}
	defer o.dialer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	go func() { _ = o.clock.Run(ctx) }()
	err = actions[selected](ctx, o)
	if errors.Is(err, proposer.ErrNoAnswer) {
		fmt.Fprintf(stderr, "%s: %v\n", app.Name, err)
		return exitUnknown
	}
	return reportError(stderr, app.Name, err)
}

// setUp reads the settings and the token and creates the clients. Of the settings it requires
// only the control hosts.
func (o *operator) setUp() error {
	b, err := os.ReadFile(o.settingsPath)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSettings, err)
	}
	j, err := yaml.YAMLToJSONStrict(b)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalidSettings, o.settingsPath, err)
	}
	s := &schema.Settings{}
	if err := protojson.Unmarshal(j, s); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalidSettings, o.settingsPath, err)
	}
	if len(s.Controls) == 0 {
		return fmt.Errorf("%w: %s: field controls: is empty", ErrInvalidSettings, o.settingsPath)
	}
	if o.tokenPath == "" {
		o.tokenPath = filepath.Join(filepath.Dir(o.settingsPath), "token")
	}
	token, err := os.ReadFile(o.tokenPath)
	if err != nil {
		return fmt.Errorf("operator token: %w", err)
	}
	o.client = &proposer.Proposer{ControlHosts: s.Controls, Token: strings.TrimSpace(string(token)), Timer: &o.clock}
	o.dialer = &dialer.Dialer{MutualTLS: s.Mutual, OperatorToken: o.client.Token, Timer: &o.clock}
	o.client.Dialer = o.dialer
	return nil
}

// propose sends a change and prints the configuration version that contains it. If the outcome
// is unknown, the error contains the request ID with which the change can be sent again.
func (o *operator) propose(ctx context.Context, c *schema.Command) error {
	c.Request = o.requestID
	if c.Request == "" {
		c.Request = proposer.NewRequestID()
	}
	result, err := o.client.Propose(ctx, c)
	if errors.Is(err, proposer.ErrNoAnswer) {
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
func (o *operator) print(v any, printTable func(io.Writer)) error {
	if o.outputFormat == "json" {
		return json.NewEncoder(o.stdout).Encode(v)
	}
	printTable(o.stdout)
	return nil
}

// newestState returns the state of the leader or, if no leader answers, of the control host with
// the newest configuration.
func (o *operator) newestState(ctx context.Context) (*schema.StateReply, error) {
	var best *schema.StateReply
	for _, s := range o.client.States(ctx) {
		if s != nil && (best == nil || s.Leader || (!best.Leader && s.Version > best.Version)) {
			best = s
		}
	}
	if best == nil {
		return nil, proposer.ErrNoAnswer
	}
	return best, nil
}

func addSheetCommands(app *kingpin.Application, actions map[string]action) {
	sheet := app.Command("sheet", "Check, plan, apply or export the configuration sheet.")
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
	apply := sheet.Command("apply", "Put all rows of a sheet in force in one change.")
	applyFile := apply.Arg("file", "The sheet.").Required().String()
	allowRemovals := apply.Flag("allow-removals", "Allow the sheet to remove more than half of the customers.").Bool()
	wait := apply.Flag("wait", "Wait until it is in force at every host.").Bool()
	actions[apply.FullCommand()] = func(ctx context.Context, o *operator) error {
		return applySheet(ctx, o, *applyFile, *allowRemovals, *wait)
	}
	export := sheet.Command("export", "Write the sheet in force.")
	actions[export.FullCommand()] = func(ctx context.Context, o *operator) error {
		state, err := o.newestState(ctx)
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
	state, err := o.newestState(ctx)
	if err != nil {
		return err
	}
	before := configurer.FromMessage(state.Snapshot)
	for _, it := range configurer.DiffSheet(before, sheet.Items) {
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

func applySheet(ctx context.Context, o *operator, path string, allowRemovals, wait bool) error {
	sheet, err := readSheet(path)
	if err != nil {
		return err
	}
	err = o.propose(ctx, &schema.Command{Op: &schema.Command_Apply{Apply: &schema.ApplySheet{
		Number: sheet.Number, Hash: sheet.Hash(), Items: sheet.Items, Removals: allowRemovals,
	}}})
	if err != nil || !wait {
		return err
	}
	version, err := waitUntilInForce(ctx, o)
	if err == nil {
		fmt.Fprintf(o.stdout, "in force everywhere: version %d\n", version)
	}
	return err
}

// warnIfLagging waits up to hostTimeout until a new key is in force at every host, and prints
// the hosts at which it is not.
func warnIfLagging(ctx context.Context, o *operator) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	if _, err := waitUntilInForce(ctx, o); err != nil {
		fmt.Fprintf(o.stderr, "trefoilctl: the key is accepted but %v\n", err)
	}
}

// errHostsLagging reports that some hosts do not have the newest configuration yet.
var errHostsLagging = errors.New("not in force everywhere")

// waitUntilInForce waits until every host reports the newest version and returns it. If ctx
// ends first, the error names the hosts that lag.
func waitUntilInForce(ctx context.Context, o *operator) (uint64, error) {
	for {
		state, err := o.newestState(ctx)
		if err != nil {
			return 0, err
		}
		lagging := laggingHosts(state)
		if len(lagging) == 0 {
			return state.Version, nil
		}
		if err := o.clock.Sleep(ctx, lagPollInterval); err != nil {
			return 0, fmt.Errorf("%w: %s", errHostsLagging, strings.Join(lagging, ", "))
		}
	}
}

func laggingHosts(state *schema.StateReply) []string {
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

func addKeyCommands(app *kingpin.Application, actions map[string]action) {
	key := app.Command("key", "Issue, withdraw or list callers' keys.")
	issue := key.Command("issue", "Issue a key; it is shown only once.")
	customer := issue.Arg("customer", "Customer.").Required().String()
	actions[issue.FullCommand()] = func(ctx context.Context, o *operator) error { return issueKey(ctx, o, *customer) }
	withdraw := key.Command("withdraw", "Withdraw keys by label or hash.")
	keyRefs := withdraw.Arg("key", "Labels or hashes.").Required().Strings()
	viaAddress := withdraw.Flag("via", "Internal address of an entry host to withdraw at, for a region that cannot reach the control hosts.").String()
	actions[withdraw.FullCommand()] = func(ctx context.Context, o *operator) error { return withdrawKeys(ctx, o, *keyRefs, *viaAddress) }
	list := key.Command("list", "List keys.")
	actions[list.FullCommand()] = listKeys
}

func issueKey(ctx context.Context, o *operator, customer string) error {
	secret, label := authenticator.Generate()
	hash, err := authenticator.Hash(secret)
	if err != nil {
		return err
	}
	c := &schema.Command{Request: o.requestID, Op: &schema.Command_Issue{Issue: &schema.Key{
		Hash: hash, Customer: customer, Label: label, Issued: time.Now().Unix(),
	}}}
	if _, err := o.client.Propose(ctx, c); err != nil {
		return err
	}
	defer warnIfLagging(ctx, o)
	return o.print(struct {
		Key   string `json:"key"`
		Label string `json:"label"`
	}{secret, label}, func(w io.Writer) { fmt.Fprintln(w, secret) })
}

// withdrawKeys withdraws keys through the control hosts or, if viaAddress is not empty,
// through the entry host at that internal address.
func withdrawKeys(ctx context.Context, o *operator, keyRefs []string, viaAddress string) error {
	hashes, err := resolveKeys(ctx, o, keyRefs)
	if err != nil {
		return err
	}
	if viaAddress == "" {
		return o.propose(ctx, &schema.Command{Op: &schema.Command_Withdraw{Withdraw: &schema.WithdrawKeys{Hashes: hashes}}})
	}
	c, err := o.dialer.EntryClient(viaAddress)
	if err != nil {
		return err
	}
	if _, err := c.Withdraw(ctx, &schema.WithdrawRequest{Hashes: hashes, Token: o.client.Token}); err != nil {
		return err
	}
	fmt.Fprintf(o.stdout, "accepted by %s\n", viaAddress)
	return nil
}

// resolveKeys returns the hashes of keys that are given by label, hash or whole key. Only labels
// need a control host.
func resolveKeys(ctx context.Context, o *operator, keyRefs []string) ([]string, error) {
	var hashes []string
	var state *schema.StateReply
	for _, ref := range keyRefs {
		if hash, err := authenticator.Hash(ref); err == nil {
			hashes = append(hashes, hash)
			continue
		}
		if len(ref) == 64 {
			hashes = append(hashes, ref)
			continue
		}
		if state == nil {
			var err error
			if state, err = o.newestState(ctx); err != nil {
				return nil, err
			}
		}
		foundHash := ""
		for _, it := range state.Snapshot.Items {
			if k := it.GetKey(); k != nil && k.Label == ref {
				foundHash = k.Hash
			}
		}
		if foundHash == "" {
			return nil, fmt.Errorf("no key has the label %q", ref)
		}
		hashes = append(hashes, foundHash)
	}
	return hashes, nil
}
