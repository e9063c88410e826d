package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"sigs.k8s.io/yaml"

	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
	"github.com/trefoilloft/trefoilloft/internal/tracer"
)

// explainCommand is parsed apart from the other commands, since it needs neither a control host nor a token: it asks an
// entry host with the secret of the settings.
const explainCommand = "explain"

// explainTimeout is the time within which the host must answer.
const explainTimeout = 2 * time.Second

var (
	errNoAnswerOfHost = errors.New("no answer")
	errMissingFields  = errors.New("the log lines of the request leave out")
	errInvalidCommand = errors.New("invalid command line")
)

// explainer holds the flags of "trefoilctl explain".
type explainer struct {
	operator
	host  string
	parts string
	input string
	max   string
	id    string
	logs  []string
	// request is filled by setRequest; customer is that of the state.
	request  schema.ExplainRequest
	left     time.Duration
	elapsed  time.Duration
	customer string
}

// explain runs "trefoilctl explain" and returns the exit status: 0 done, 1 rejected or failed, 2 invalid command line,
// 3 the host did not answer.
func explain(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("trefoilctl explain", "Show where a request would go now from an entry host, and why; nothing is sent.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	x := &explainer{operator: operator{stdout: stdout, stderr: stderr, timeout: explainTimeout}}
	app.Flag("settings", "Settings file that names entry hosts and holds the secret.").Envar("TREFOIL_SETTINGS").Required().StringVar(&x.settingsPath)
	app.Flag("host", "Name of the entry host; the one that the settings describe, or the only one, if not given.").StringVar(&x.host)
	app.Flag("output", "table or json.").Default("table").EnumVar(&x.outputFormat, "table", "json")
	request := app.Command("request", "Show where a request would go.").Default()
	request.Flag("route", "Route by name.").StringVar(&x.request.Route)
	request.Flag("name", "Host name that the caller sends the request to, in place of a route.").StringVar(&x.request.Name)
	request.Flag("path", "Path of the request, with --name.").StringVar(&x.request.Path)
	request.Flag("customer", "Customer.").StringVar(&x.request.Customer)
	request.Flag("model", "Model.").StringVar(&x.request.Model)
	request.Flag("parts", "Parts of the prompt in order, as ID:TOKENS,ID:TOKENS; only the last one is not shared.").StringVar(&x.parts)
	request.Flag("input", "Tokens of the prompt.").StringVar(&x.input)
	request.Flag("max", "Largest number of tokens of the answer.").StringVar(&x.max)
	request.Flag("hint", "The caller's estimate of the tokens of the answer.").Int64Var(&x.request.Hint)
	request.Flag("region", "Region of the caller, which must be that of the host.").StringVar(&x.request.Region)
	request.Flag("left", "Time until the caller's deadline; the route's timeout if not given.").DurationVar(&x.left)
	request.Flag("elapsed", "Time since the caller's first attempt.").DurationVar(&x.elapsed)
	request.Flag("id", "ID of a request; what is not given is taken from its lines in the logs.").StringVar(&x.id)
	request.Arg("log", "Files that hold the hosts' logs, with --id.").ExistingFilesVar(&x.logs)
	state := app.Command("state", "Show what the decisions of a host rest on.")
	state.Flag("customer", "Customer whose shares are shown.").StringVar(&x.customer)
	selected, err := app.Parse(args)
	if err != nil {
		return reportUsageError(stderr, app, err)
	}
	run := x.showRequest
	if selected == state.FullCommand() {
		run = x.showState
	}
	err = run()
	switch {
	case errors.Is(err, errInvalidCommand):
		fmt.Fprintf(stderr, "%s: %v\n", app.Name, err)
		return exitUsage
	case errors.Is(err, errNoAnswerOfHost):
		fmt.Fprintf(stderr, "%s: %v\n", app.Name, err)
		return exitUnknown
	}
	return reportError(stderr, app.Name, err)
}

// call asks the host.
func (x *explainer) call(ask func(ctx context.Context, c schema.ExplainServiceClient, host string) error) error {
	s, err := readHosts(x.settingsPath)
	if err != nil {
		return err
	}
	host, err := s.find(x.host)
	if err != nil {
		return err
	}
	d := &dialer.Dialer{Secret: s.secret, MutualTLS: s.mutual, Timer: &timer.Service{}}
	defer d.Close()
	conn, err := d.Conn(host.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), x.timeout)
	defer cancel()
	return hostError(host, ask(ctx, schema.NewExplainServiceClient(conn), host.Name), x.timeout)
}

// hostError converts the error of a call to a host into one for the operator.
func hostError(host *schema.Control, err error, timeout time.Duration) error {
	text := status.Convert(err).Message()
	switch status.Code(err) {
	case codes.OK:
		return nil
	case codes.InvalidArgument:
		return fmt.Errorf("%w: host %s: %s", errInvalidCommand, host.Name, text)
	case codes.DeadlineExceeded:
		return fmt.Errorf("%w of host %s at %s within %v", errNoAnswerOfHost, host.Name, host.Address, timeout)
	case codes.Unavailable:
		return fmt.Errorf("%w of host %s at %s: %s", errNoAnswerOfHost, host.Name, host.Address, text)
	}
	return fmt.Errorf("host %s: %s", host.Name, text)
}

func (x *explainer) showRequest() error {
	if err := x.setRequest(); err != nil {
		return err
	}
	return x.call(func(ctx context.Context, c schema.ExplainServiceClient, host string) error {
		x.request.Host = host
		reply, err := c.Explain(ctx, &x.request)
		if err != nil {
			return err
		}
		return x.print(reply, func(w io.Writer) { printExplanation(w, reply) })
	})
}

func (x *explainer) showState() error {
	return x.call(func(ctx context.Context, c schema.ExplainServiceClient, host string) error {
		reply, err := c.State(ctx, &schema.EntryStateRequest{Host: host, Customer: x.customer})
		if err != nil {
			return err
		}
		return x.print(reply, func(w io.Writer) { printEntryState(w, reply) })
	})
}

// setRequest fills the request from the flags and, for what they leave out, from logs.
func (x *explainer) setRequest() error {
	m := &x.request
	var errs []error
	m.Left, m.Elapsed = x.left.Seconds(), x.elapsed.Seconds()
	m.Input, m.Output = parseTokens("input", x.input, &errs), parseTokens("max", x.max, &errs)
	m.Stated = x.input != "" && x.max != ""
	if x.parts != "" {
		for _, text := range strings.Split(x.parts, ",") {
			id, tokens, found := strings.Cut(strings.TrimSpace(text), ":")
			n, err := strconv.ParseInt(tokens, 10, 64)
			if id == "" || !found || err != nil || n < 0 {
				errs = append(errs, fmt.Errorf("%w: --parts: %q is not ID:TOKENS", errInvalidCommand, text))
			}
			m.Parts = append(m.Parts, &schema.PromptPart{Id: id, Tokens: n})
		}
	}
	switch {
	case x.id == "" && len(x.logs) > 0:
		errs = append(errs, fmt.Errorf("%w: --id: is missing before the logs", errInvalidCommand))
	case x.id != "" && len(x.logs) == 0:
		errs = append(errs, fmt.Errorf("%w: log: is missing after --id", errInvalidCommand))
	}
	if err := errors.Join(errs...); err != nil || x.id == "" {
		return err
	}
	var lines []tracer.Line
	for _, name := range x.logs {
		more, _, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	return x.fillFromLog(lines)
}

func parseTokens(flag, text string, errs *[]error) int64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		*errs = append(*errs, fmt.Errorf("%w: --%s: %q is not a number of tokens", errInvalidCommand, flag, text))
	}
	return n
}

// fillFromLog fills what the flags leave out from the lines of the request that say where it was placed or that it was
// refused. The error names the flags for what the lines leave out too.
func (x *explainer) fillFromLog(lines []tracer.Line) error {
	fields := map[string]any{}
	for _, l := range lines {
		if l.Fields["request"] != x.id || l.Message != "placed" && l.Message != "refused" {
			continue
		}
		for name, value := range l.Fields {
			fields[name] = value
		}
	}
	if len(fields) == 0 {
		return fmt.Errorf("%w %q", errRequestNotLogged, x.id)
	}
	m := &x.request
	text := func(field string) string { s, _ := fields[field].(string); return s }
	if m.Route == "" && m.Name == "" {
		m.Route = text("route")
	}
	if m.Customer == "" {
		m.Customer = text("customer")
	}
	input, placed := fields["input"].(float64)
	if x.input == "" {
		m.Input = int64(input)
	}
	// A request that was placed without tokens of a prompt is a plain one.
	prompted := x.input != "" && m.Input > 0 || input > 0
	var missing []string
	if m.Route == "" && m.Name == "" {
		missing = append(missing, "--route")
	}
	if x.input == "" && !placed {
		missing = append(missing, "--input")
	}
	if x.max == "" && (prompted || !placed) {
		missing = append(missing, "--max")
	}
	if ids, _ := fields["parts"].([]any); x.parts == "" && len(ids) > 0 {
		missing = append(missing, fmt.Sprintf("--parts (tokens of %v and of the last part)", ids))
	}
	if len(missing) > 0 {
		return fmt.Errorf("%w %s", errMissingFields, strings.Join(missing, ", "))
	}
	m.Stated = prompted
	return nil
}

// hostList is what a settings file says of the entry hosts that operators may ask.
type hostList struct {
	path   string
	secret string
	mutual *schema.Tls
	own    *schema.Control // host that the settings describe; nil if they describe none
	hosts  []*schema.Control
}

// readHosts reads a settings file, of which it requires only the secret and an entry host.
func readHosts(path string) (*hostList, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSettings, err)
	}
	s := &schema.Settings{}
	j, err := yaml.YAMLToJSONStrict(b)
	if err == nil {
		err = protojson.Unmarshal(j, s)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalidSettings, path, err)
	}
	l := &hostList{path: path, secret: s.Secret, mutual: s.Mutual}
	if s.Name != "" && s.Internal != "" {
		l.own = &schema.Control{Name: s.Name, Address: s.Internal}
		l.hosts = append(l.hosts, l.own)
	}
	l.hosts = append(l.hosts, s.Entries...)
	switch {
	case s.Secret == "":
		return nil, fmt.Errorf("%w: %s: field secret: is empty", ErrInvalidSettings, path)
	case len(l.hosts) == 0:
		return nil, fmt.Errorf("%w: %s: fields name and internal, or entries: are empty", ErrInvalidSettings, path)
	}
	return l, nil
}

// find returns the entry host with a name; if that is empty, the one that the settings describe, or the only one.
func (l *hostList) find(name string) (*schema.Control, error) {
	var names []string
	for _, h := range l.hosts {
		if h.Name == name {
			return h, nil
		}
		names = append(names, h.Name)
	}
	switch {
	case name != "":
		return nil, fmt.Errorf("unknown host %q: %s names %s", name, l.path, strings.Join(names, ", "))
	case l.own != nil:
		return l.own, nil
	case len(l.hosts) == 1:
		return l.hosts[0], nil
	}
	return nil, fmt.Errorf("%w: --host: is missing; %s names %s", errInvalidCommand, l.path, strings.Join(names, ", "))
}
