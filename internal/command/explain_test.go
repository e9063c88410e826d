package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

var update = flag.Bool("update", false, "write golden files")

const testSecret = "a secret of sixteen bytes"

// hostStandIn is an entry host that gives the explanations of a file of the forwarder's tests.
type hostStandIn struct {
	schema.UnimplementedExplainServiceServer
	reply   *schema.ExplainReply
	state   *schema.EntryStateReply
	err     error
	silent  bool
	request *schema.ExplainRequest // the last one
}

func (h *hostStandIn) Explain(ctx context.Context, m *schema.ExplainRequest) (*schema.ExplainReply, error) {
	h.request = m
	if h.silent {
		<-ctx.Done()
	}
	return h.reply, h.err
}

func (h *hostStandIn) State(context.Context, *schema.EntryStateRequest) (*schema.EntryStateReply, error) {
	return h.state, h.err
}

// start starts the host and returns its address.
func (h *hostStandIn) start(t *testing.T) string {
	t.Helper()
	server, err := dialer.NewServer(testSecret, nil, func(string) bool { return false }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	schema.RegisterExplainServiceServer(server, h)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return l.Addr().String()
}

// readReply reads a golden file of the forwarder's tests.
func readReply[T any](t *testing.T, name string) *T {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "forwarder", "testdata", "explain", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	m := new(T)
	if err := json.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
	return m
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func runOperator(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = RunOperator(args, &out, &errs)
	return code, out.String(), errs.String()
}

// TestExplainOutput guards against an explanation that the operator is shown incompletely, as a table or as JSON.
func TestExplainOutput(t *testing.T) {
	h := &hostStandIn{state: readReply[schema.EntryStateReply](t, "state")}
	settings := writeFile(t, "hosts.yaml", fmt.Sprintf("secret: %s\nentries: [{name: a1, address: %q}]\n", testSecret, h.start(t)))
	for _, format := range []string{"table", "json"} {
		var got strings.Builder
		for _, name := range []string{"prefix", "prefix-adaptive", "bound-adaptive", "full", "split", "over"} {
			h.reply = readReply[schema.ExplainReply](t, name)
			code, stdout, stderr := runOperator("explain", "--settings", settings, "--output", format, "--route", "chat")
			fmt.Fprintf(&got, "explain %s: exit status %d\n%s%s\n", name, code, stdout, stderr)
		}
		code, stdout, stderr := runOperator("explain", "--settings", settings, "--output", format, "state", "--customer", "c")
		fmt.Fprintf(&got, "explain state: exit status %d\n%s%s", code, stdout, stderr)
		file := filepath.Join("testdata", "explain-"+format+".golden")
		if *update {
			if err := os.WriteFile(file, []byte(got.String()), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(want), got.String()); diff != "" {
			t.Errorf("%s: -want +got\n%s", file, diff)
		}
	}
}

// TestExplainErrors guards against errors that do not name the argument, the host or what is not known, and against
// exit statuses that differ from those of the other commands.
func TestExplainErrors(t *testing.T) {
	h := &hostStandIn{reply: &schema.ExplainReply{Host: "a1"}}
	address := h.start(t)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddress := unused.Addr().String()
	if err := unused.Close(); err != nil {
		t.Fatal(err)
	}
	settings := writeFile(t, "hosts.yaml", fmt.Sprintf("secret: %s\nentries: [{name: a1, address: %q}, {name: a2, address: %q}]\n", testSecret, address, unusedAddress))
	wrong := writeFile(t, "wrong.yaml", fmt.Sprintf("secret: another secret\nname: a1\ninternal: %q\n", address))
	empty := writeFile(t, "empty.yaml", "region: a\n")
	for _, c := range []struct {
		args  []string
		reply error
		code  int
		text  string
	}{
		{[]string{"--settings", settings, "--host", "a1", "--route", "chat"}, nil, exitOK, ""},
		{[]string{"--settings", settings, "--host", "a1", "--route", "none"}, status.Error(codes.NotFound, `unknown route "none"`), exitFailed, `host a1: unknown route "none"`},
		{[]string{"--settings", settings, "--host", "a1"}, status.Error(codes.InvalidArgument, "invalid argument route: missing"), exitUsage, "host a1: invalid argument route: missing"},
		{[]string{"--settings", settings, "--host", "a3", "--route", "chat"}, nil, exitFailed, `unknown host "a3": `},
		{[]string{"--settings", settings, "--route", "chat"}, nil, exitUsage, "--host: is missing"},
		{[]string{"--settings", settings, "--host", "a2", "--route", "chat"}, nil, exitUnknown, "no answer of host a2 at " + unusedAddress},
		{[]string{"--settings", wrong, "--route", "chat"}, nil, exitFailed, "host a1: "},
		{[]string{"--settings", empty, "--route", "chat"}, nil, exitFailed, "field secret: is empty"},
		{[]string{"--settings", settings, "--host", "a1", "--input", "many"}, nil, exitUsage, `--input: "many" is not a number of tokens`},
		{[]string{"--settings", settings, "--host", "a1", "--max=-2"}, nil, exitUsage, `--max: "-2" is not a number of tokens`},
		{[]string{"--settings", settings, "--host", "a1", "--parts", "a:1,b"}, nil, exitUsage, `--parts: "b" is not ID:TOKENS`},
		{[]string{"--settings", settings, "--host", "a1", "--hint", "x"}, nil, exitUsage, "x"},
		{[]string{"--settings", settings, "--host", "a1", "--output", "xml", "--route", "chat"}, nil, exitUsage, "xml"},
		{[]string{"--settings", settings, "--host", "a1", "--id", "r1"}, nil, exitUsage, "log: is missing after --id"},
	} {
		h.err = c.reply
		code, _, stderr := runOperator(append([]string{"explain"}, c.args...)...)
		if code != c.code || !strings.Contains(stderr, c.text) {
			t.Errorf("%v: exit status %d, %q; want %d, %q", c.args, code, stderr, c.code, c.text)
		}
	}
}

// TestExplainNamesASilentHost guards against a command that waits for a host that does not answer, or does not name it.
func TestExplainNamesASilentHost(t *testing.T) {
	h := &hostStandIn{silent: true}
	address := h.start(t)
	settings := writeFile(t, "hosts.yaml", fmt.Sprintf("secret: %s\nname: a1\ninternal: %q\n", testSecret, address))
	x := &explainer{operator: operator{settingsPath: settings, timeout: 50 * time.Millisecond}}
	err := x.showRequest()
	if want := "no answer of host a1 at " + address + " within 50ms"; !errors.Is(err, errNoAnswerOfHost) || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// TestExplainFromLog guards against an explanation of another request than the one in the logs: what the lines leave out is
// named, and flags come before lines.
func TestExplainFromLog(t *testing.T) {
	log := writeFile(t, "a1.log", strings.Join([]string{
		`{"request":"r0","route":"other","customer":"x","input":7,"parts":[],"message":"placed"}`,
		`{"request":"r1","route":"chat","pool":"engine","customer":"c","input":700,"parts":["system"],"upstream":"e2","message":"placed"}`,
		`{"request":"r1","route":"chat","upstream":"e2","message":"answered"}`,
		`{"request":"r2","route":"chat","customer":"c","status":503,"message":"refused"}`,
		`{"request":"r3","route":"desk","customer":"c","input":0,"parts":[],"upstream":"s0","message":"placed"}`,
		`{"request":"r4","status":503,"input":9,"parts":[],"message":"refused"}`,
		`{"request":"r5","route":"chat","message":"caller left"}`,
	}, "\n"))
	h := &hostStandIn{reply: &schema.ExplainReply{Host: "a1"}}
	settings := writeFile(t, "hosts.yaml", fmt.Sprintf("secret: %s\nname: a1\ninternal: %q\n", testSecret, h.start(t)))
	part := func(id string, tokens int64) *schema.PromptPart { return &schema.PromptPart{Id: id, Tokens: tokens} }
	for _, c := range []struct {
		args []string
		want *schema.ExplainRequest
		text string
	}{
		{[]string{"--id", "r1"}, nil, "the log lines of the request leave out --max, --parts (tokens of [system] and of the last part)"},
		{[]string{"--id", "r1", "--max", "200", "--parts", "system:600,own:100", "--hint", "80"}, &schema.ExplainRequest{
			Host: "a1", Route: "chat", Customer: "c", Input: 700, Output: 200, Hint: 80, Stated: true, Parts: []*schema.PromptPart{part("system", 600), part("own", 100)},
		}, ""},
		{[]string{"--id", "r2"}, nil, "leave out --input, --max"},
		{[]string{"--id", "r2", "--input", "50", "--max", "20", "--customer", "d"}, &schema.ExplainRequest{Host: "a1", Route: "chat", Customer: "d", Input: 50, Output: 20, Stated: true}, ""},
		{[]string{"--id", "r3"}, &schema.ExplainRequest{Host: "a1", Route: "desk", Customer: "c"}, ""},
		{[]string{"--id", "r4"}, nil, "leave out --route, --max"},
		{[]string{"--id", "r5"}, nil, `no log line has the request ID "r5"`},
	} {
		h.request = nil
		code, _, stderr := runOperator(append(append([]string{"explain", "--settings", settings}, c.args...), log)...)
		if diff := cmp.Diff(c.want, h.request, protocmp.Transform()); diff != "" {
			t.Errorf("%v: request: -want +got\n%s", c.args, diff)
		}
		if wantCode := map[bool]int{true: exitOK, false: exitFailed}[c.want != nil]; code != wantCode || !strings.Contains(stderr, c.text) {
			t.Errorf("%v: exit status %d, %q; want %d, %q", c.args, code, stderr, wantCode, c.text)
		}
	}
}
