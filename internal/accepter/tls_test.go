package accepter

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// newTLSRig is newRig with TLS.
func newTLSRig(t *testing.T, maxConns int, budget int64) *rig {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{{Certificate: [][]byte{cert}, PrivateKey: key}}}
	return startRig(t, maxConns, budget, config)
}

// dialTLS returns a connection after its handshake, of which nothing is read by itself.
func (r *rig) dialTLS(from string) *tls.Conn {
	r.t.Helper()
	near, far := net.Pipe()
	r.t.Cleanup(func() { _ = near.Close() })
	r.pipes.conns <- &pipe{far, from}
	c := tls.Client(near, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}) // 1.3: the server sends tickets later
	if err := c.Handshake(); err != nil {
		r.t.Fatal(err)
	}
	return c
}

// TestHeadsBehindTLS guards against charging a head by what is on the wire, which has other bytes and no lines, and
// against requests that are not served, or whose charge is not returned, with TLS.
func TestHeadsBehindTLS(t *testing.T) {
	r := newTLSRig(t, 8, 1<<30)
	c := r.dialTLS(address(1))
	in := bufio.NewReader(c)
	for _, fields := range []int{0, 1000, 2000} {
		head := begun + fieldsOf(fields)
		if _, err := io.WriteString(c, head); err != nil {
			t.Fatal(err)
		}
		want := tally{len(head), strings.Count(head, "\n")}.charge()
		r.wait(fmt.Sprintf("charge of %d fields", fields), func() bool {
			x := r.gate.lists[reading].first
			return x != nil && x.charge == want
		})
		if _, err := io.WriteString(c, "\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%d fields: %+v, %v", fields, response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		r.wait("returned charge", func() bool { return r.gate.Budget.Used() == 0 && r.gate.lists[idle].n == 1 })
	}
	go func() { _, _ = io.WriteString(c, begun+strings.Repeat("a:\n", 2*maxFields)) }()
	response, err := http.ReadResponse(in, nil)
	if err != nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !response.Close {
		t.Fatalf("too many fields: %+v, %v", response, err)
	}
	r.wait("end of the server", func() bool {
		x := r.gate.lists[lingering].first
		return x == nil || x.serverClosed
	})
	r.clock.Advance(lingerTime)
	r.wait("end of the connection", func() bool { return r.gate.all.open == 0 && r.gate.Budget.Used() == 0 })
}

// TestCallersWithTLSThatDoNotRead guards against a Gate that waits, for all other connections, until a caller reads the
// end of its connection. Writes to a pipe wait for the other side.
func TestCallersWithTLSThatDoNotRead(t *testing.T) {
	const large = 400 // fields: more than 100 KB each
	r := newTLSRig(t, 0, 300<<10)
	for i := range 10 {
		c := r.dialTLS(address(i))
		go func() { _, _ = io.WriteString(c, begun+fieldsOf(large)) }()
		r.wait("charge of the head", func() bool {
			x := r.gate.lists[reading].last
			return x != nil && x.address.String() == address(i) && x.fields == 2+large && r.gate.lists[closing].n == 0
		})
	}
	r.gate.mu.Lock()
	open := r.gate.all.open
	r.gate.mu.Unlock()
	if open > 4 {
		t.Errorf("%d connections are open", open)
	}
}

// TestLongHandshake guards against memory that callers take before their handshake has ended, which is not charged.
func TestLongHandshake(t *testing.T) {
	r := newTLSRig(t, 0, 1<<20)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	r.pipes.conns <- &pipe{far, address(1)}
	go func() { _, _ = io.Copy(io.Discard, near) }()
	record := append([]byte{22, 3, 1, 0x20, 0x00}, make([]byte, 8<<10)...) // handshake record of 8 KB
	record[5], record[6], record[7], record[8] = 1, 0, 0xff, 0xf0          // first message of 65,520 bytes
	sent := 0
	for err := error(nil); err == nil && sent < 64<<10; {
		var n int
		n, err = near.Write(record)
		sent += n
		record[5] = 0
	}
	if sent > 32<<10 {
		t.Errorf("%d bytes were read", sent)
	}
	r.wait("end of the connection", func() bool { return r.gate.all.open == 0 })
}

// TestBytesWithoutData guards against memory that callers take after their handshake, which is not charged: TLS keeps a
// message that is not data until it is whole.
func TestBytesWithoutData(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		for {
			if _, err := near.Write(make([]byte, 4<<10)); err != nil {
				return
			}
		}
	}()
	c := &handshakeConn{Conn: far, ended: true}
	b := make([]byte, 4<<10)
	for total := 0; total < 20*recordBytes; total += len(b) {
		if _, err := c.Read(b); err != nil {
			t.Fatalf("data: %v after %d bytes", err, total)
		}
		c.read = 0 // the server got data
	}
	total := 0
	for err := error(nil); err == nil && total < 20*recordBytes; total += len(b) {
		_, err = c.Read(b)
	}
	if total > recordBytes+2*len(b) {
		t.Errorf("%d bytes without data were read", total)
	}
	_ = far.Close()
}
