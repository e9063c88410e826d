// Command review-standin-3 plays the cases of the third review: it starts the project's own programs as separate
// processes on loopback addresses, with stand-ins for the operator, the clients and the servers.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine; first is that of the others.
const (
	offsetFront = iota
	offsetReadiness
	offsetControl
	offsetDirectory
	offsetServer
	offsetInternal  // to offsetInternal+15
	portsPerMachine = offsetInternal + 16
)

var zones = []string{"east-a", "west-a", "north-a"}

func regionOf(zone string) string { return strings.TrimSuffix(zone, "-a") }

// record writes what happens to record.txt, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one process of the system.
type machine struct {
	name, role, zone, ip string
	fleet                *fleet
	settings, data       string
	cmd                  *exec.Cmd
	done                 chan struct{}
}

// fleet is the system under test.
type fleet struct {
	rec        *record
	folder     string
	port       int // first of the ports
	net        int // second byte of the addresses
	cores      []*machine
	fronts     []*machine
	extra      string // further lines of the settings
	mu         sync.Mutex
	leader     string // the machine that said last that it leads; to choose whom to disturb
	onLine     func(m *machine, line string)
	unexpected []string
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("127.%d.7.%d", f.net, n) }

func (f *fleet) addr(ip string, offset int) string { return fmt.Sprintf("%s:%d", ip, f.port+offset) }

// newFleet picks free addresses and ports. cores and fronts hold the number of machines in each zone.
func newFleet(rec *record, cores, fronts [3]int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder}
	for try := 0; ; try++ {
		f.net, f.port = 64+rand.IntN(128), 20000+rand.IntN(9000)
		if f.free() {
			break
		}
		if try > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	n := 10
	for i, zone := range zones {
		for k := range cores[i] {
			n++
			f.cores = append(f.cores, f.machine(fmt.Sprintf("core-%s-%d", zone, k+1), "control", zone, f.ip(n)))
		}
	}
	n = 40
	for i, zone := range zones {
		for k := range fronts[i] {
			n++
			f.fronts = append(f.fronts, f.machine(fmt.Sprintf("front-%s-%d", zone, k+1), "entry", zone, f.ip(n)))
		}
	}
	return f, nil
}

func (f *fleet) free() bool {
	for _, ip := range []string{f.ip(11), f.ip(41), f.ip(100)} {
		for i := range portsPerMachine {
			l, err := net.Listen("tcp", f.addr(ip, i))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) machine(name, role, zone, ip string) *machine {
	return &machine{name: name, role: role, zone: zone, ip: ip, fleet: f,
		settings: filepath.Join(f.folder, name+".yaml"), data: filepath.Join(f.folder, name)}
}

// bounds and limits are those of the small deployments.
const commonSettings = `
discovery: "registry"
entry: "directory"
heartbeatMs: 1200
invariants: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "tenants", "quota"]
faultTolerance: {machines: 1, zones: 1, regions: 1}
bounds: {seedStalenessS: 3, addrReuseS: 2, stableWindowMs: 6000, ackMs: 8000, catchupS: 4, drainMs: 4000, graceS: 8, lossSlackMs: 200, configApplyMs: 4000, rollbackSlackMs: 250, stretchMaxMs: 10000, strictRevoke: true, revokeMs: 5000, retryRatio: 0.2, retryWindowS: 10, retrySlack: 56, quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 110000, coldOver: 1.5, coldSlack: 3, evacMs: 5000, recoverS: 12, passMs: 800, retryAfterS: 10, ttl_max_s: 5}
configMode: "highest"
`

func (m *machine) writeSettings(bootstrap bool) error {
	f := m.fleet
	seeds := f.cores
	var three []string
	for _, zone := range zones {
		for _, c := range seeds {
			if c.zone == zone && len(three) < 3 {
				three = append(three, fmt.Sprintf("%q", f.addr(c.ip, offsetControl)))
				break
			}
		}
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "node: %q\nrole: %q\nip: %q\nzone: %q\nregion: %q\nzones:\n", m.name, m.role, m.ip, m.zone, regionOf(m.zone))
	for _, z := range zones {
		fmt.Fprintf(b, "  %s: %q\n", z, regionOf(z))
	}
	if m.role == "control" {
		fmt.Fprintf(b, "machineClass: \"core\"\nserves: [\"control\"]\nlistenAddrs: {control: %q}\nfaultCounted: true\ndataDir: %q\nlimits: {cpuShare: 0.24, cpuCores: 1, memoryMb: 280, maxFds: 4096, linkMbps: 1000.0, diskMb: 128}\n",
			f.addr(m.ip, offsetControl), m.data)
	} else {
		fmt.Fprintf(b, "machineClass: \"front\"\nserves: [\"front\", \"directory\"]\nlistenAddrs: {front: %q, readiness: %q, directory: %q}\nfaultCounted: false\ndataDir: null\nlimits: {cpuShare: 0.4, cpuCores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}\n",
			f.addr(m.ip, offsetFront), f.addr(m.ip, offsetReadiness), f.addr(m.ip, offsetDirectory))
	}
	fmt.Fprintf(b, "portRange: [%d, %d]\nseeds: [%s]\nbootstrap: %v\n", f.port+offsetInternal, f.port+offsetInternal+15, strings.Join(three, ", "), bootstrap)
	b.WriteString(commonSettings)
	b.WriteString(f.extra)
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// start starts the process as the deploy file does, in the repository's root.
func (m *machine) start(bootstrap bool) error {
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	if m.role == "control" {
		if err := os.MkdirAll(m.data, 0o700); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/trefoilnode", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TREFOILLOFT_BOOT=" + m.settings}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	startedMu.Lock()
	started = append(started, cmd.Process)
	startedMu.Unlock()
	go func() {
		defer close(done)
		defer log.Close()
		s := bufio.NewScanner(out)
		s.Buffer(nil, 4<<20)
		for s.Scan() {
			line := s.Text()
			fmt.Fprintln(log, line)
			if strings.Contains(line, `"leadership changed"`) && strings.Contains(line, `"leader":true`) {
				m.fleet.mu.Lock()
				m.fleet.leader = m.name
				m.fleet.mu.Unlock()
			}
			if m.fleet.onLine != nil {
				m.fleet.onLine(m, line)
			}
		}
		err := cmd.Wait()
		m.fleet.rec.line("%s ended: %v", m.name, err)
	}()
	return nil
}

// started are the processes that the case started, for killAll.
var (
	startedMu sync.Mutex
	started   []*os.Process
)

// killAll ends all processes that the case started.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		_ = p.Kill() // fails only if it has ended
	}
}

func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.cores...), f.fronts...) {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.fleet.rec.line("signal %v to %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range append(append([]*machine{}, f.cores...), f.fronts...) {
		if m.cmd == nil {
			continue
		}
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
	}
	for _, m := range append(append([]*machine{}, f.cores...), f.fronts...) {
		if m.done != nil {
			select {
			case <-m.done:
			case <-time.After(3 * time.Second):
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}

// follower returns a core machine that doesn't lead, as far as its log says, other than those in not.
func (f *fleet) follower(not ...*machine) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
next:
	for _, i := range rand.Perm(len(f.cores)) {
		m := f.cores[i]
		if m.name == f.leader {
			continue
		}
		for _, n := range not {
			if n == m {
				continue next
			}
		}
		return m
	}
	return f.cores[0]
}

func (f *fleet) leading() *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.cores {
		if m.name == f.leader {
			return m
		}
	}
	return f.cores[0]
}
