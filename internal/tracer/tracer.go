// Package tracer follows one request through the logs of all hosts: the decisions on it,
// and what the hosts that decided had learned shortly before about the upstreams concerned.
// It reads logs and judges nothing.
package tracer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// Time before a request's first decision from which beliefs are shown.
	before = 5 * time.Second
	// Longest line of a log.
	lineLimit = 1 << 20
)

// fields that are shown first or not at all.
const (
	fieldTime    = "time"
	fieldHost    = "host"
	fieldMessage = "message"
	fieldLevel   = "level"
	fieldRequest = "request"
)

// Line is one line of a log.
type Line struct {
	// Time is in milliseconds since 1970, by the clock of the host that wrote it.
	Time    float64
	Host    string
	Message string
	Fields  map[string]any
}

// Read returns the lines of a log. What is no line of ours is passed over and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineLimit)
	for s.Scan() {
		text := s.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 {
			skipped++
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
			skipped++
			continue
		}
		l := Line{Fields: fields}
		l.Time, _ = fields[fieldTime].(float64)
		l.Host, _ = fields[fieldHost].(string)
		l.Message, _ = fields[fieldMessage].(string)
		lines = append(lines, l)
	}
	return lines, skipped, s.Err()
}

// Trace returns the lines about a request, and those about the upstreams that it was sent
// to, by time.
func Trace(lines []Line, request string) []Line {
	var kept []Line
	concerned := map[string]bool{}
	first, last := 0.0, 0.0
	for _, l := range lines {
		if l.Fields[fieldRequest] != request {
			continue
		}
		kept = append(kept, l)
		if name, ok := l.Fields["upstream"].(string); ok {
			concerned[name] = true
		}
		if first == 0 || l.Time < first {
			first = l.Time
		}
		last = max(last, l.Time)
	}
	from := first - float64(before.Milliseconds())
	for _, l := range lines {
		name, ok := l.Fields["upstream"].(string)
		if l.Fields[fieldRequest] == nil && ok && concerned[name] && l.Time >= from && l.Time <= last {
			kept = append(kept, l)
		}
	}
	slices.SortStableFunc(kept, func(a, b Line) int { return int(a.Time - b.Time) })
	return kept
}

// Write prints lines with times counted from the first.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var rest []string
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			switch name {
			case fieldTime, fieldHost, fieldMessage, fieldLevel, fieldRequest:
				continue
			}
			rest = append(rest, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
		if _, err := fmt.Fprintf(w, "%+9.0f ms  %s  %s: %s\n", l.Time-lines[0].Time, l.Host, l.Message, strings.Join(rest, " ")); err != nil {
			return err
		}
	}
	return nil
}
