package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine of the system; each machine has an address of its own.
const (
	portFront = iota
	portReadiness
	portDirectory
	portControl
	portInternal
	portMetrics
	numPorts
	// portServer is the port of servers.
	portServer = 40
)

// world is a small deployment on loopback addresses: control and entry machines of the system, servers, an operator.
type world struct {
	trouble  bool
	folder   string // temporary
	prefix   string // of the loopback addresses
	port     int    // the first one
	controls []*machine
	entries  []*machine

	mu        sync.Mutex
	record    *os.File // guarded by mu
	startedAt time.Time
	processes []*process // guarded by mu
}

// process is a process that the case started.
type process struct {
	command *exec.Cmd
	done    chan struct{} // closed once it has ended
}

// maxServers is the number of addresses for servers and links.
const maxServers = 8

// machine is one machine of the system.
type machine struct {
	w                        *world
	name, role, zone, region string
	ip                       string
	started                  bool
	process                  *process
}

var regionOf = map[string]string{"lothian-a": "lothian", "clyde-a": "clyde", "grampian-a": "grampian"}

// runCase plays a case and returns its exit status.
func runCase(play func(*world) (bool, error), folder string) int {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now()}
	var err error
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	if w.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer func() {
		if os.Getenv("REVIEW_KEEP") == "" {
			_ = os.RemoveAll(w.folder)
			return
		}
		fmt.Fprintln(os.Stderr, "logs in", w.folder)
	}()
	defer w.endAll()
	w.log("trouble: %v", w.trouble)
	broken, err := play(w)
	switch {
	case err != nil:
		w.log("could not run: %v", err)
		return exitNoRun
	case broken:
		w.log("the rule was broken")
		return exitBroken
	}
	w.log("the rule held")
	return exitHeld
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// lineWriter writes what a stand-in prints to the record.
type lineWriter struct {
	w    *world
	name string
}

func (l *lineWriter) Write(b []byte) (int, error) {
	for _, line := range bytes.Split(bytes.TrimRight(b, "\n"), []byte("\n")) {
		l.w.log("%s: %s", l.name, line)
	}
	return len(b), nil
}

// start starts a process that endAll ends.
func (w *world) start(c *exec.Cmd) (*process, error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{c, make(chan struct{})}
	go func() {
		_ = c.Wait() // how it ended is no matter
		close(p.done)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes = append(w.processes, p)
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (w *world) endAll() {
	w.mu.Lock()
	all := w.processes
	w.mu.Unlock()
	for _, p := range all {
		p.kill()
	}
}

// seedCount is the number of control machines that the settings name.
const seedCount = 3

// build chooses free addresses and starts three control machines and the given entry machines, by zone.
func (w *world) build(entryZones ...string) error {
	return w.buildWith([]string{"lothian-a", "clyde-a", "grampian-a"}, entryZones)
}

// buildWith is build with control machines in the given zones. The first seedCount of them are the seeds.
func (w *world) buildWith(controlZones, entryZones []string) error {
	if err := w.chooseAddresses(len(controlZones) + len(entryZones)); err != nil {
		return err
	}
	for i, zone := range controlZones {
		w.controls = append(w.controls, &machine{w: w, name: fmt.Sprintf("core-%s-%d", zone, i/seedCount+1), role: "control", zone: zone, region: regionOf[zone], ip: w.ip(i)})
	}
	for i, zone := range entryZones {
		w.entries = append(w.entries, &machine{w: w, name: fmt.Sprintf("front-%s-%d", zone, i+1), role: "entry", zone: zone, region: regionOf[zone], ip: w.ip(len(controlZones) + i)})
	}
	for _, m := range append(append([]*machine{}, w.controls...), w.entries...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.prefix, 10+n) }

// serverAddress returns the address of a server.
func (w *world) serverAddress(n int) string {
	return fmt.Sprintf("%s.%d:%d", w.prefix, 100+n, w.port+portServer)
}

func (w *world) chooseAddresses(machines int) error {
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		w.port = 20000 + rand.IntN(10000)
		if w.free(machines) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (w *world) free(machines int) bool {
	var all []string
	for n := range machines {
		for p := range numPorts + 16 {
			all = append(all, fmt.Sprintf("%s:%d", w.ip(n), w.port+p))
		}
	}
	for n := range maxServers {
		all = append(all, w.serverAddress(n))
	}
	for _, address := range all {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.w.port+port) }

func (m *machine) serves() []string {
	if m.role == "control" {
		return []string{"control"}
	}
	return []string{"front", "directory"}
}

// settings returns the settings file of a process of the small deployment.
func (m *machine) settings() ([]byte, error) {
	w := m.w
	var seeds []string
	for _, c := range w.controls[:seedCount] {
		seeds = append(seeds, c.address(portControl))
	}
	listen := map[string]string{"front": m.address(portFront), "readiness": m.address(portReadiness), "directory": m.address(portDirectory)}
	limits := map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
	class := "front"
	var data any
	if m.role == "control" {
		listen = map[string]string{"control": m.address(portControl)}
		limits = map[string]any{"cpuShare": 0.24, "cpuCores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128}
		class, data = "core", filepath.Join(w.folder, m.name)
	}
	return json.MarshalIndent(map[string]any{
		"node": m.name, "role": m.role, "machineClass": class, "serves": m.serves(), "ip": m.ip, "zone": m.zone, "region": m.region,
		"zones": regionOf, "listenAddrs": listen, "portRange": []int{w.port + portInternal, w.port + portInternal + 15}, "seeds": seeds,
		"bootstrap": !m.started, "faultCounted": m.role == "control", "limits": limits, "dataDir": data,
		"discovery": "registry", "entry": "directory", "heartbeatMs": 1200,
		"invariants":     []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "tenants", "quota"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 1},
		"bounds": map[string]any{
			"seedStalenessS": 3, "addrReuseS": 2, "stableWindowMs": 6000, "ackMs": 8000, "catchupS": 4, "drainMs": 4000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 4000, "rollbackSlackMs": 250, "stretchMaxMs": 10000, "strictRevoke": true, "revokeMs": 5000,
			"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "quotaWindowS": 8, "quotaOver": 0.1, "quotaSlack": 110000,
			"coldOver": 1.5, "coldSlack": 3, "evacMs": 5000, "recoverS": 12, "passMs": 800, "retryAfterS": 10, "ttl_max_s": 5,
		},
		"configMode": "highest",
	}, "", "  ")
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	b, err := m.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(m.w.folder, m.name+".yaml") // JSON is YAML
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(m.w.folder, m.name), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.w.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/trefoilnode", m.role)
	c.Env = []string{"TREFOILLOFT_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	m.started = true
	m.w.log("start %s at %s", m.name, m.ip)
	m.process, err = m.w.start(c)
	return err
}

// startServer starts a server with arguments of the server command. Its output goes to the record.
func (w *world) startServer(name string, args ...string) (*process, error) {
	var controls string
	for i, c := range w.controls {
		if i > 0 {
			controls += ","
		}
		controls += c.address(portControl)
	}
	return w.startStandIn(name, append([]string{"server", "-controls", controls, "-service", "pool", "-zone", "lothian-a"}, args...)...)
}

func (w *world) startStandIn(name string, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := exec.Command(self, args...)
	out := &lineWriter{w, name}
	c.Stdout, c.Stderr = out, out
	w.log("start %s: %q", name, args)
	return w.start(c)
}

// manifest is the configuration that the operator sends.
func manifest(version int) []byte {
	engine := map[string]any{"slots": 64, "kvCapacityTokens": 242370, "kvTokenBytes": 327680, "linkMbps": 370000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "plan", "host": "parish.example", "pathPrefix": "/plan/", "kind": "streaming", "timeoutMs": 5000, "sloMs": 1000, "priority": 1, "service": "pool", "attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "gapAimMs": 400, "allowedRegions": []string{}},
			map[string]any{"name": "summary", "host": "parish.example", "pathPrefix": "/summary/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 1500, "priority": 0, "service": "pool", "attempts": 1, "anonymous": false, "sticky": true, "resumable": true, "gapAimMs": 400, "allowedRegions": []string{}},
			map[string]any{"name": "query", "host": "parish.example", "pathPrefix": "/query/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 1500, "priority": 0, "service": "pool", "attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "gapAimMs": 400, "allowedRegions": []string{}},
		},
		"services": []any{map[string]any{"name": "pool", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "warmupS": 3.0, "coldPerS": 2.3, "engine": engine}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "parish", "apiKeys": []string{"k3y0f7h3p4r15h000000"}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 428720, "burst": 428720, "allowedRegions": []string{}}},
	})
	return b
}

// order sends an order of the operator to one control machine after another until it is acknowledged.
func (w *world) order(path string, body []byte) error {
	client := &http.Client{Timeout: time.Second}
	for n := range 60 {
		m := w.controls[n%len(w.controls)]
		r, err := client.Post("http://"+m.address(portControl)+path, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				w.log("operator: %s acknowledged by %s", path, m.name)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("order %s is not acknowledged", path)
}

// awaitListener waits until an address accepts connections.
func awaitListener(address string) error {
	for range 200 {
		if c, err := net.Dial("tcp", address); err == nil {
			return c.Close()
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("%s does not listen", address)
}
