package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/command"
	"github.com/trefoilloft/trefoilloft/internal/faker"
)

// conditionTimeout is the longest time that eventually waits for a condition.
const conditionTimeout = 40 * time.Second

var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "trefoil")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	args := []string{"build", "-o", folder, "../cmd/..."}
	if os.Getenv("TREFOIL_RACE") != "" {
		args = append(args[:1:1], append([]string{"-race"}, args[1:]...)...)
	}
	build := exec.Command("go", args...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("%s\n", out)
		return 1
	}
	binDir = folder
	return m.Run()
}

// system is a deployment of three regions: a process for each host, and stand-in upstreams
// that run inside the test process.
type system struct {
	t              *testing.T
	folder         string
	firstPort      int
	procs          map[string]*exec.Cmd
	programs       map[string]string // by host: started in place of trefoild, with the same arguments
	engines        map[string]*faker.Engine
	bookings       map[string]*faker.Booking
	stopAnnouncing map[string]context.CancelFunc // by upstream: announces that it leaves, then returns
}

var portOffset atomic.Int32

// freePorts returns the first of n consecutive loopback ports on which nothing listens.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for range 200 {
		port := 20000 + int(portOffset.Add(100))%10000
		free := true
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

// newSystem writes the demonstration's settings and starts the processes and upstreams of
// all regions. They stop when the test ends; if it failed, the ends of their logs are printed.
func newSystem(t *testing.T) *system {
	t.Helper()
	return newPreparedSystem(t, func(*system) {})
}

// newPreparedSystem is newSystem with a function that is called once the settings are written.
func newPreparedSystem(t *testing.T, prepare func(*system)) *system {
	t.Helper()
	s := &system{
		t: t, folder: t.TempDir(), firstPort: freePorts(t, 60), procs: map[string]*exec.Cmd{}, programs: map[string]string{},
		engines: map[string]*faker.Engine{}, bookings: map[string]*faker.Booking{}, stopAnnouncing: map[string]context.CancelFunc{},
	}
	if err := command.WriteDemoSettings(s.folder, s.firstPort); err != nil {
		t.Fatal(err)
	}
	s.raiseLimits()
	prepare(s)
	t.Cleanup(s.close)
	for _, region := range command.DemoRegions {
		s.mustRun("trefoild", "init", "--settings", s.settingsPath("control-"+region))
	}
	for i, region := range command.DemoRegions {
		s.start("control-" + region)
		s.start(region + "-1")
		s.start(region + "-2")
		s.startUpstreams(i, region)
	}
	return s
}

// raiseLimits raises the rates and bursts of 4000 and 20000 in the sheet, so that only tests
// of limits reach them.
func (s *system) raiseLimits() {
	s.t.Helper()
	path := filepath.Join(s.folder, "sheet.csv")
	b, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	b = bytes.ReplaceAll(b, []byte(",4000,20000,"), []byte(",60000,300000,"))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) close() {
	for _, stop := range s.stopAnnouncing {
		stop()
	}
	for name := range s.procs {
		s.kill(name)
	}
	if s.t.Failed() {
		s.printLogs()
	}
}

func (s *system) printLogs() {
	logs, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
	for _, path := range logs {
		if b, err := os.ReadFile(path); err == nil && len(b) > 0 {
			s.t.Logf("%s:\n%s", filepath.Base(path), b[max(0, len(b)-2000):])
		}
	}
}

func (s *system) settingsPath(name string) string { return filepath.Join(s.folder, name+".yaml") }

// address returns the address at a port offset in a region: 0 and 2 are the entry hosts, 1
// and 3 their internal listeners, 4 is the control host, 10 the engine, 11 the booking
// service, and those from 12 on are free for a test's own upstreams and proxies.
func (s *system) address(region string, offset int) string {
	for i, r := range command.DemoRegions {
		if r == region {
			return fmt.Sprintf("127.0.0.1:%d", s.firstPort+20*i+offset)
		}
	}
	s.t.Fatalf("no region %s", region)
	return ""
}

func (s *system) mustRun(program string, args ...string) string {
	s.t.Helper()
	out, err := exec.Command(filepath.Join(binDir, program), args...).CombinedOutput()
	if err != nil {
		s.t.Fatalf("%s %s: %v\n%s", program, strings.Join(args, " "), err, out)
	}
	return string(out)
}

// ctl runs trefoilctl and returns its trimmed output and whether it exited with status 0.
func (s *system) ctl(args ...string) (string, bool) {
	args = append([]string{"--settings", filepath.Join(s.folder, "operator.yaml")}, args...)
	out, err := exec.Command(filepath.Join(binDir, "trefoilctl"), args...).CombinedOutput()
	return strings.TrimSpace(string(out)), err == nil
}

func (s *system) mustCtl(args ...string) string {
	s.t.Helper()
	out, ok := s.ctl(args...)
	if !ok {
		s.t.Fatalf("trefoilctl %s:\n%s", strings.Join(args, " "), out)
	}
	return out
}

// start starts the daemon of a host with env added to its environment. Names that begin with
// control- are control hosts, all others are entry hosts.
func (s *system) start(name string, env ...string) {
	s.t.Helper()
	role := "entry"
	if strings.HasPrefix(name, "control-") {
		role = "control"
	}
	log, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer log.Close()
	program := s.programs[name]
	if program == "" {
		program = filepath.Join(binDir, "trefoild")
	}
	cmd := exec.Command(program, role, "--settings", s.settingsPath(name))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.procs[name] = cmd
}

func (s *system) signal(name string, sig syscall.Signal) {
	s.t.Helper()
	if err := s.procs[name].Process.Signal(sig); err != nil {
		s.t.Fatalf("%s: %v", name, err)
	}
}

func (s *system) kill(name string) {
	cmd := s.procs[name]
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	delete(s.procs, name)
}

func (s *system) startUpstreams(i int, region string) {
	engine := &faker.Engine{Name: "engine-" + region, Slots: 16, FirstTokenDelay: 20 * time.Millisecond, CachedFirstTokenDelay: 5 * time.Millisecond, TokenInterval: 2 * time.Millisecond}
	s.addEngine(region, engine, 10)
	booking := &faker.Booking{Name: "booking-" + region, Region: region, Address: s.address(region, 11), Routes: []string{"bookings"}}
	s.bookings[region] = booking
	s.serveUpstream(booking.Name, region, booking, booking.Address)
}

// addEngine starts an engine in a region at a port offset, see address.
func (s *system) addEngine(region string, e *faker.Engine, offset int) {
	e.Region, e.Models, e.Address = region, []string{"parish-1"}, s.address(region, offset)
	s.engines[e.Name] = e
	s.serveUpstream(e.Name, region, e, e.Address)
}

func (s *system) serveUpstream(name, region string, up faker.Upstream, address string) {
	s.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	h := &http.Server{Handler: up, ReadHeaderTimeout: time.Second}
	go func() { _ = h.Serve(l) }()
	s.t.Cleanup(func() { _ = h.Close() })
	s.announce(name, region, up)
}

// announce keeps announcing an upstream to the entry hosts of its region until the function
// in stopAnnouncing is called.
func (s *system) announce(name, region string, up faker.Upstream) {
	s.t.Helper()
	token, err := os.ReadFile(filepath.Join(s.folder, "announce"))
	if err != nil {
		s.t.Fatal(err)
	}
	a := &faker.Announcer{
		Upstream: up, Token: string(token), Incarnation: uint64(time.Now().UnixNano()),
		Hosts: []string{s.address(region, 0), s.address(region, 2)},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = a.Run(ctx)
		close(done)
	}()
	s.stopAnnouncing[name] = func() {
		cancel()
		<-done
	}
}

// applySheet waits until all six entry hosts are active, applies the demonstration's sheet
// and waits until it is in force.
func (s *system) applySheet() {
	s.t.Helper()
	s.eventually("six hosts are active", func() bool {
		out, ok := s.ctl("status")
		return ok && strings.Count(out, "active") == 6
	})
	s.mustCtl("--timeout", "30s", "sheet", "apply", "--wait", filepath.Join(s.folder, "sheet.csv"))
}

// waitUntilGroupReady waits until all three holders of a region's records are ready.
func (s *system) waitUntilGroupReady(region string) {
	s.t.Helper()
	s.eventually("the three holders of "+region+" are ready", func() bool {
		out, ok := s.ctl("group", "show", region)
		return ok && strings.Count(out, "ready") == 3
	})
}

func (s *system) issueKey(customer string) string {
	s.t.Helper()
	key, _, _ := strings.Cut(s.mustCtl("key", "issue", customer), "\n")
	return key
}

// eventually polls until holds returns true and fails the test after conditionTimeout. The
// condition is a clause for the message.
func (s *system) eventually(condition string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("timed out waiting until %s", condition)
}

// answer is an HTTP response as the client received it. err is the error of sending the
// request or of reading the body.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// refusal returns the fields code and run of an error body, zero for any other body. run is
// false if the request was not executed, else "unknown".
func (a answer) refusal() (code string, run any) {
	var b struct {
		Error struct {
			Code string `json:"code"`
			Run  any    `json:"run"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(a.body), &b)
	return b.Error.Code, b.Error.Run
}

// text returns the text of a completion, streamed or not, and whether it is complete: a
// stream is once it has ended with [DONE].
func (a answer) text() (string, bool) {
	type chunk struct {
		Choices []struct {
			Delta   struct{ Content string }
			Message struct{ Content string }
		}
	}
	var completion chunk
	if json.Unmarshal([]byte(a.body), &completion) == nil && len(completion.Choices) == 1 {
		return completion.Choices[0].Message.Content, true
	}
	var b strings.Builder
	complete := false
	for _, line := range strings.Split(a.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		var c chunk
		switch {
		case !ok:
		case data == "[DONE]":
			complete = true
		case json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1:
			b.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return b.String(), complete
}

var client = &http.Client{Timeout: 90 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (s *system) do(method, host, path, key string, body string, header ...string) answer {
	r, err := http.NewRequest(method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, err = io.Copy(&b, resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: b.String(), err: err}
}

// chat sends a chat completion request.
func (s *system) chat(host, key, prompt string, stream bool) answer {
	body, err := json.Marshal(map[string]any{
		"model": "parish-1", "stream": stream, "max_tokens": 400,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return answer{err: err}
	}
	return s.do(http.MethodPost, host, "/v1/chat/completions", key, string(body))
}

// expectedText returns the text with which every engine answers a prompt sent by chat.
func expectedText(prompt string) string { return faker.Answer(prompt+"\n", 400) }

// waitUntilServing waits until a host answers a completion request, which it does once it
// has the customer's limits and the upstreams.
func (s *system) waitUntilServing(host, key string) {
	s.t.Helper()
	s.eventually("host "+host+" answers completion requests", func() bool {
		return s.chat(host, key, "ready?", false).status == http.StatusOK
	})
}
