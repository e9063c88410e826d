package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// newID returns the X-Request-Id of one client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client got. status 0 means that the channel ended without a complete answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// channel is one client's open channel to an entry host.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
}

func (d *deployment) open(m *machine) (*channel, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, d.portFront), callTimeout)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, r: bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// exchange sends one request on a channel and reads its answer. onBody, if not nil, reads the body.
func (c *channel) exchange(method, host, path, body string, header map[string]string, wait time.Duration, onBody func(io.Reader) error) answer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return answer{err: err}
	}
	q, _ := http.NewRequest(method, "http://"+host+"/", nil)
	response, err := http.ReadResponse(c.r, q)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: response.StatusCode, header: response.Header}
	if onBody != nil && response.StatusCode == http.StatusOK {
		a.err = onBody(response.Body)
	} else {
		var text []byte
		text, a.err = io.ReadAll(response.Body)
		a.body = string(text)
	}
	if a.err != nil {
		a.status = 0
	}
	return a
}

// resolve asks the directory of one machine.
func (d *deployment) resolve(ctx context.Context, m *machine, zone string) (status int, body string) {
	c := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	u := fmt.Sprintf("http://%s:%d/resolve?name=carol.example&region=%s&zone=%s", m.ip, d.portDirectory, regionOf(zone), zone)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return 0, ""
	}
	response, err := c.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(b)
}

// lookups sends safe requests to one entry host until stop is closed, ten a second.
func (d *deployment) lookups(m *machine, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		c, err := d.open(m)
		if err != nil {
			continue
		}
		a := c.exchange(http.MethodGet, hostName, lookPath+"2f", "", clientHeader(newID(), "5000"), 6*time.Second, nil)
		if a.status != http.StatusOK {
			d.rec.log("client: a lookup at %s got %d %s", m.name, a.status, strings.TrimSpace(a.body))
		}
		c.close()
	}
}
