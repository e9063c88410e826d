package test

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/crowder"
)

const (
	headsCrowd  = 200 // connections to each listener
	framesCrowd = 100
	headsMaxMB  = 224  // resident memory of a process
	headsMaxFDs = 1400 // descriptors that it may use

	// TestCompleteHeadsThatWait and TestMixedHeadsOlder: many of their connections hold little.
	waitingCrowd = 400
	mixedCrowd   = 600
	waitingMaxMB = 144

	// TestMoreConnectionsThanDescriptors: the descriptors that a process may use, and the connections to it.
	fewFDs      = 256
	fewFDsCrowd = 400

	callerHeadBytes = 16_384 // largest request header that callers may send
	fdInterval      = 50 * time.Millisecond
)

// headsSystem is a system in which a test observes one entry host with plain HTTP, one with TLS, and one control host.
type headsSystem struct {
	*system
	key     string
	crowded []*headsHost
	ended   chan struct{}
}

// headsHost is a host whose resources a test observes.
type headsHost struct {
	name     string
	pid      int
	internal string
	peakFDs  atomic.Int64
}

// startHeads starts a system whose observed processes may use maxFDs descriptors.
func startHeads(t *testing.T, maxFDs int) *headsSystem {
	t.Helper()
	internal := map[string]int{"lothian-1": 1, "lothian-2": 3, "control-lothian": 4}
	s := &headsSystem{ended: make(chan struct{})}
	s.system = newPreparedSystem(t, func(x *system) {
		x.enableTLS("lothian-2")
		for name := range internal {
			x.programs[name] = x.limitDescriptors(maxFDs)
		}
	})
	t.Cleanup(func() { close(s.ended) })
	for name, port := range internal {
		s.crowded = append(s.crowded, &headsHost{name: name, pid: s.procs[name].Process.Pid, internal: s.address("lothian", port)})
	}
	s.applySheet()
	s.key = s.issueKey("st-giles")
	s.waitUntilServing(s.address("lothian", 0), s.key)
	for _, h := range s.crowded {
		go h.watchFDs(s.ended)
	}
	return s
}

// limitDescriptors returns a program that runs trefoild, which may use maxFDs descriptors.
func (s *system) limitDescriptors(maxFDs int) string {
	s.t.Helper()
	program := filepath.Join(s.folder, fmt.Sprint("limited-", maxFDs))
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d && exec %s \"$@\"\n", maxFDs, filepath.Join(binDir, "trefoild"))
	if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
		s.t.Fatal(err)
	}
	return program
}

// enableTLS gives a host a certificate for its callers' listener.
func (s *system) enableTLS(name string) {
	s.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		s.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "trefoil"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		s.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		s.t.Fatal(err)
	}
	certFile, keyFile := filepath.Join(s.folder, "cert.pem"), filepath.Join(s.folder, "key.pem")
	for file, b := range map[string]*pem.Block{certFile: {Type: "CERTIFICATE", Bytes: cert}, keyFile: {Type: "PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(b), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	f, err := os.OpenFile(s.settingsPath(name), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if _, err := fmt.Fprintf(f, "tls:\n  cert: %s\n  key: %s\n", certFile, keyFile); err != nil {
		s.t.Fatal(err)
	}
}

func (s *headsSystem) plain() string { return s.address("lothian", 0) }
func (s *headsSystem) tls() string   { return s.address("lothian", 2) }

// metrics returns the addresses of the metrics listeners of the observed hosts.
func (s *headsSystem) metrics() []string {
	return []string{s.address("lothian", 6), s.address("lothian", 7), s.address("lothian", 8)}
}

func (s *headsSystem) internal() []string {
	var all []string
	for _, h := range s.crowded {
		all = append(all, h.internal)
	}
	return all
}

var insecureTLS = &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS12, ClientSessionCache: tls.NewLRUClientSessionCache(8), ServerName: "trefoil"}

func wrapTLS(c net.Conn) net.Conn { return tls.Client(c, insecureTLS) }

// watchFDs observes the number of open descriptors.
func (h *headsHost) watchFDs(ended <-chan struct{}) {
	for {
		if all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.pid)); err == nil {
			h.peakFDs.Store(max(h.peakFDs.Load(), int64(len(all))))
		}
		select {
		case <-ended:
			return
		case <-time.After(fdInterval):
		}
	}
}

// resetPeaks makes the peaks count from now.
func (h *headsHost) resetPeaks() {
	h.peakFDs.Store(0)
	_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", h.pid), []byte("5"), 0) // on failure the peaks of earlier kinds count too
}

// peakMB returns the largest resident memory.
func (h *headsHost) peakMB() (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmHWM: %f kB", &kb); err == nil {
			return kb / 1024, nil
		}
	}
	return 0, fmt.Errorf("process %d has ended", h.pid)
}

// crowd is a group of clients and the addresses to which they connect.
type crowd struct {
	crowder.Crowd
	addresses []string
}

// run lets all crowds send at the same time, then checks what the processes used and that each listener answers.
func (s *headsSystem) run(kind string, maxMB float64, maxFDs int, crowds ...crowd) {
	s.t.Helper()
	for _, h := range s.crowded {
		h.resetPeaks()
	}
	opened := make(chan int64)
	for _, c := range crowds {
		go func() { opened <- c.Run(c.addresses...) }()
	}
	var all int64
	for range crowds {
		all += <-opened
	}
	s.t.Logf("%s: %d connections opened", kind, all)
	for _, h := range s.crowded {
		peak, err := h.peakMB()
		if err != nil {
			s.t.Fatalf("%s: %s: %v", kind, h.name, err)
		}
		fds := h.peakFDs.Load()
		s.t.Logf("%s: %s: %.0f MB, %d descriptors", kind, h.name, peak, fds)
		if peak >= maxMB {
			s.t.Errorf("%s: %s used %.0f MB, of %.0f", kind, h.name, peak, maxMB)
		}
		if fds >= int64(maxFDs) {
			s.t.Errorf("%s: %s had %d descriptors open, of %d", kind, h.name, fds, maxFDs)
		}
	}
	s.checkAnswers(kind)
}

// checkAnswers checks that each listener answers one ordinary request.
func (s *headsSystem) checkAnswers(kind string) {
	s.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: insecureTLS}, Timeout: 5 * time.Second}
	get := func(url string) func() bool {
		return func() bool {
			response, err := client.Get(url)
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.Copy(io.Discard, response.Body)
			return err == nil && response.StatusCode < 300
		}
	}
	s.eventually(kind+": the callers' listener serves", func() bool { return s.chat(s.plain(), s.key, "ready?", false).status == http.StatusOK })
	s.eventually(kind+": the callers' listener with TLS serves", get("https://"+s.tls()+"/healthz"))
	for _, address := range s.metrics() {
		s.eventually(kind+": metrics at "+address, get("http://"+address+"/metrics"))
	}
	for _, h := range s.crowded {
		s.eventually(kind+": a handshake with "+h.name, func() bool { return handshake(h.internal) })
	}
	if out, ok := s.ctl("status"); !ok {
		s.t.Errorf("%s: trefoilctl status:\n%s", kind, out)
	}
}

// handshake opens a connection to a gRPC listener and reports whether the first frame of the host comes.
func handshake(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, crowder.Preface); err != nil {
		return false
	}
	first := make([]byte, 9)
	_, err = io.ReadFull(c, first)
	return err == nil && first[3] == crowder.FrameSettings
}

// http returns crowds at all HTTP listeners of the observed hosts.
func (s *headsSystem) http(clients int, openings ...crowder.Opening) []crowd {
	return []crowd{
		{crowder.Crowd{Openings: openings, Clients: clients}, append(s.metrics(), s.plain())},
		{crowder.Crowd{Openings: openings, Clients: clients, Wrap: wrapTLS}, []string{s.tls()}},
	}
}

// TestHeadsOfManyCallers guards against a host that runs out of memory, and takes the requests of other callers with
// it, as clients send heads that are large, stall, or do not end, over many connections at once.
func TestHeadsOfManyCallers(t *testing.T) {
	s := startHeads(t, headsMaxFDs)
	for _, o := range crowder.Heads {
		s.run(o.Name, headsMaxMB, headsMaxFDs, s.http(headsCrowd, o)...)
	}
}

// TestFramesOfManyConnections guards against the same on the listeners for other processes.
func TestFramesOfManyConnections(t *testing.T) {
	s := startHeads(t, headsMaxFDs)
	for _, o := range crowder.Frames {
		s.run(o.Name, headsMaxMB, headsMaxFDs, crowd{crowder.Crowd{Openings: []crowder.Opening{o}, Clients: framesCrowd}, s.internal()})
	}
}

// TestEmptyLinesWithoutTLS guards against a listener with TLS that waits without end, or holds more and more, as callers
// send it empty lines, or whole requests, without TLS.
func TestEmptyLinesWithoutTLS(t *testing.T) {
	s := startHeads(t, headsMaxFDs)
	for _, o := range crowder.Heads {
		if o.Unit != nil && o.Pause == 0 {
			s.run(o.Name, headsMaxMB, headsMaxFDs, crowd{crowder.Crowd{Openings: []crowder.Opening{o}, Clients: headsCrowd}, []string{s.tls()}})
		}
	}
}

// TestMixedHeadsOlder guards against a bound that holds for each kind of head alone, but not where clients of all kinds
// connect to all listeners at once.
func TestMixedHeadsOlder(t *testing.T) {
	s := startHeads(t, headsMaxFDs)
	crowds := s.http(mixedCrowd, crowder.Heads...)
	s.run("all kinds", waitingMaxMB, headsMaxFDs, append(crowds, crowd{crowder.Crowd{Openings: crowder.Frames, Clients: framesCrowd}, s.internal()})...)
}

// TestLargestHeadIsServed guards against bounds that refuse a request header that callers may send: one of 16,384 bytes,
// in thousands of small fields or in one, on the callers' listener with and without TLS.
func TestLargestHeadIsServed(t *testing.T) {
	s := startHeads(t, headsMaxFDs)
	for name, fields := range map[string]func(n int) string{
		"small fields": crowder.SmallFields, "equal fields": crowder.EqualFields, "one field": crowder.LargeField,
	} {
		first := "GET /healthz HTTP/1.1\r\nHost: h\r\n"
		head := first + fields(callerHeadBytes-len(first)-2) + "\r\n"
		for _, secure := range []bool{false, true} {
			address := s.plain()
			if secure {
				address = s.tls()
			}
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			if secure {
				conn = wrapTLS(conn)
			}
			in := bufio.NewReader(conn)
			for request := range 2 {
				if _, err := io.WriteString(conn, head); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("%s, TLS %t, request %d: %v", name, secure, request, err)
				}
				if response.StatusCode != http.StatusNoContent {
					t.Errorf("%s, TLS %t, request %d of %d bytes in %d lines: status %d", name, secure, request, len(head), strings.Count(head, "\n"), response.StatusCode)
				}
			}
			_ = conn.Close()
		}
	}
}

// completeHead returns a completion whose head has as many bytes as callers may send, in fields of the given kind.
func completeHead(key string, fields func(n int) string) string {
	body := `{"model":"parish-1","max_tokens":400,"messages":[{"role":"user","content":"wait"}]}`
	first := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", key, len(body))
	return first + fields(callerHeadBytes-len(first)-2) + "\r\n" + body
}

// TestCompleteHeadsThatWait guards against complete heads, each within the limits, that together take the memory of
// the host while their requests wait for a slot.
func TestCompleteHeadsThatWait(t *testing.T) {
	s := startHeads(t, headsMaxFDs)
	waiting := []crowder.Opening{
		{Name: "small fields", Long: true, Prefix: completeHead(s.key, crowder.SmallFields)},
		{Name: "equal fields", Long: true, Prefix: completeHead(s.key, crowder.EqualFields)},
		{Name: "one field", Long: true, Prefix: completeHead(s.key, crowder.LargeField)},
	}
	for _, o := range waiting[:2] {
		s.run("complete heads of "+o.Name, waitingMaxMB, headsMaxFDs, crowd{crowder.Crowd{Openings: []crowder.Opening{o}, Clients: waitingCrowd}, []string{s.plain()}})
	}
	s.run("complete heads of all kinds", waitingMaxMB, headsMaxFDs, s.http(waitingCrowd/2, append(waiting, crowder.Heads...)...)...)
}

// TestMoreConnectionsThanDescriptors guards against a host whose callers take the descriptors that it needs for its
// upstreams, the other hosts and its operators.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	s := startHeads(t, fewFDs)
	for _, o := range []crowder.Opening{crowder.Heads[0], {Name: "idle after a request", Prefix: crowder.WholeGet}} {
		crowds := s.http(fewFDsCrowd, o)
		s.run(o.Name, headsMaxMB, fewFDs, append(crowds, crowd{crowder.Crowd{Openings: []crowder.Opening{o}, Clients: framesCrowd}, s.internal()})...)
	}
}
