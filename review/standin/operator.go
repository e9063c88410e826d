package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call sends one order to one control host on a channel of its own, and closes the channel when it
// gives up after a second. Status 0 means no response.
func (d *deployment) call(m *machine, method, path, body string) (status int, answer string) {
	c := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext}}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, d.portControl, path), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := c.Do(r)
	if err != nil {
		return 0, "no response"
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "no whole response"
	}
	return response.StatusCode, string(b)
}

// order sends an order to the control hosts one after another, beginning with the given one, until one
// acknowledges it.
func (d *deployment) order(first int, method, path, body string) error {
	for attempt := range 30 {
		m := d.controls[(first+attempt)%len(d.controls)]
		status, _ := d.call(m, method, path, body)
		d.rec.log("operator: %s %s to %s: status %d", method, path, m.name, status)
		if status >= 200 && status < 300 {
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("%w: the order was refused with %d", errNotRun, status)
		}
		time.Sleep(time.Duration(100+50*attempt) * time.Millisecond)
	}
	return fmt.Errorf("%w: no ack for %s", errNotRun, path)
}
