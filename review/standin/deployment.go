package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the project's program, as deploy/system.toml builds and starts it.
const program = "target/trefoilnode"

// The bounds of the small site files that the cases use.
const (
	stableWindow = 6 * time.Second
	grace        = 8 * time.Second
	lossSlack    = 200 * time.Millisecond
	evacuate     = 5 * time.Second
	heartbeat    = 1200 * time.Millisecond
	callTimeout  = time.Second
)

// zones are the failure domains, each in a region of its own.
var zones = []string{"lothian-a", "clyde-a", "grampian-a"}

func regionOf(zone string) string { return strings.TrimSuffix(zone, "-a") }

// machine is one machine of the system, with one process.
type machine struct {
	name, role, zone, ip string

	mu       sync.Mutex
	process  *exec.Cmd // nil while none runs
	settings string
}

// deployment is a small installation: control hosts and entry hosts on loopback addresses.
type deployment struct {
	rec    *record
	folder string
	// prefix begins all addresses of this deployment: 127.x.y.
	prefix                             string
	portFront, portReady, portControl  int
	portDirectory, portFirst, portReps int
	machines                           []*machine
	controls, entries                  []*machine
	seeds                              []string
	mu                                 sync.Mutex
	replicas                           []*replica
	version                            int
}

func newDeployment(rec *record) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: %v; start it in the repository after the build", errNotRun, err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errNotRun, err)
	}
	d := &deployment{rec: rec, folder: folder, version: 1}
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		base := 11000 + rand.IntN(8000)
		d.portFront, d.portReady, d.portControl, d.portDirectory, d.portFirst, d.portReps = base, base+1, base+2, base+3, base+10, base+40
		if d.portsFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("%w: no free ports", errNotRun)
}

func (d *deployment) portsFree() bool {
	for _, port := range []int{d.portFront, d.portReady, d.portControl, d.portDirectory, d.portFirst, d.portFirst + 1, d.portReps} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s10:%d", d.prefix, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addControls and addEntries add machines, one per name of a zone.
func (d *deployment) addControls(zones ...string) {
	for i, z := range zones {
		m := &machine{name: fmt.Sprintf("core-%s-%d", z, i+1), role: "control", zone: z, ip: fmt.Sprintf("%s%d", d.prefix, 10+i)}
		d.controls, d.machines = append(d.controls, m), append(d.machines, m)
		if len(d.seeds) < 3 {
			d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", m.ip, d.portControl))
		}
	}
}

func (d *deployment) addEntries(zones ...string) {
	for i, z := range zones {
		m := &machine{name: fmt.Sprintf("front-%s-%d", z, i+1), role: "entry", zone: z, ip: fmt.Sprintf("%s%d", d.prefix, 30+i)}
		d.entries, d.machines = append(d.entries, m), append(d.machines, m)
	}
}

// startAll starts all machines for the first time.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// start writes a machine's settings and starts its process. first means that the whole system starts
// for the first time.
func (d *deployment) start(m *machine, first bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settings = filepath.Join(d.folder, m.name+".yaml")
	if err := os.WriteFile(m.settings, []byte(d.settingsOf(m, first)), 0o600); err != nil {
		return fmt.Errorf("%w: %v", errNotRun, err)
	}
	out, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %v", errNotRun, err)
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, m.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TREFOILLOFT_BOOT=" + m.settings}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: %v", errNotRun, err)
	}
	m.process = c
	go func() { _ = c.Wait() }()
	d.rec.log("platform: started %s (%s %s) at %s", m.name, program, m.role, m.ip)
	return nil
}

// signal sends a signal to a machine's process.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	d.rec.log("platform: %v to %s", s, m.name)
	_ = m.process.Process.Signal(s)
	if s == syscall.SIGKILL {
		m.process = nil
	}
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	d.mu.Lock()
	replicas := d.replicas
	d.mu.Unlock()
	for _, r := range replicas {
		r.crash()
	}
	for _, m := range d.machines {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(d.folder, keep)
		return
	}
	_ = os.RemoveAll(d.folder)
}

func (d *deployment) settingsOf(m *machine, first bool) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, memory := "front", 284
	if m.role == "control" {
		class, memory = "core", 280
	}
	line("node: %q\nrole: %q\nmachineClass: %q\nip: %q\nzone: %q\nregion: %q", m.name, m.role, class, m.ip, m.zone, regionOf(m.zone))
	line("zones:")
	for _, z := range zones {
		line("  %s: %q", z, regionOf(z))
	}
	if m.role == "control" {
		line("serves: [control]\nlistenAddrs:\n  control: \"%s:%d\"", m.ip, d.portControl)
		data := filepath.Join(d.folder, m.name+"-data")
		_ = os.MkdirAll(data, 0o700)
		line("dataDir: %q", data)
	} else {
		line("serves: [front, directory]\nlistenAddrs:\n  front: \"%s:%d\"\n  readiness: \"%s:%d\"\n  directory: \"%s:%d\"",
			m.ip, d.portFront, m.ip, d.portReady, m.ip, d.portDirectory)
		line("dataDir: null")
	}
	line("portRange: [%d, %d]", d.portFirst, d.portFirst+15)
	line("seeds: [%s]", strings.Join(quoted(d.seeds), ", "))
	line("bootstrap: %v\nfaultCounted: %v", first, m.role == "control")
	line("limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 128}", memory)
	line("discovery: registry\nentry: directory\nheartbeatMs: 1200\nconfigMode: highest")
	line("invariants: [base, drain, config, cost, retry, recover, engine, stream, places, tenants, quota]")
	line("faultTolerance: {machines: 1, zones: 1, regions: 1}")
	line(`bounds: {seedStalenessS: 3, addrReuseS: 2, stableWindowMs: 6000, ackMs: 8000, catchupS: 4, drainMs: 4000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 4000, rollbackSlackMs: 250, stretchMaxMs: 10000, strictRevoke: true, revokeMs: 5000, retryRatio: 0.2, retryWindowS: 10,
  retrySlack: 56, quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 110000, coldOver: 1.5, coldSlack: 3, evacMs: 5000, recoverS: 12,
  passMs: 800, retryAfterS: 10, ttl_max_s: 5}`)
	return b.String()
}

func quoted(list []string) []string {
	var all []string
	for _, s := range list {
		all = append(all, fmt.Sprintf("%q", s))
	}
	return all
}

// ready reports whether an entry host's readiness check gets a 200.
func (d *deployment) ready(m *machine) bool {
	c := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, d.portReady))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitReady waits until all entry hosts are ready.
func (d *deployment) waitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range d.entries {
			all = all && d.ready(m)
		}
		if all {
			d.rec.log("platform: all entry hosts are ready")
			return nil
		}
	}
	return fmt.Errorf("%w: entry hosts are not ready", errNotRun)
}
