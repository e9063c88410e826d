// Package tracer selects from the logs of all hosts the lines about one request: the decisions
// on it, and what hosts learned shortly before about the upstreams that it was sent to. It
// reads logs and draws no conclusions.
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
	// Time before a request's first line from which lines about its upstreams are selected.
	contextWindow = 5 * time.Second
	// Maximum length of a log line.
	maxLineBytes = 1 << 20
)

// Keys of log fields that Write prints in a fixed place or leaves out.
const (
	fieldTime    = "time"
	fieldHost    = "host"
	fieldMessage = "message"
	fieldLevel   = "level"
	fieldRequest = "request"
)

// Line is one structured line of a log.
type Line struct {
	// LoggedAt is in milliseconds since 1970 on the clock of the host that wrote the line; 0 if
	// the line has no time.
	LoggedAt float64
	Host     string
	Message  string
	Fields   map[string]any
}

// Read returns the lines of a log that contain a JSON object, after any prefix, and the number of
// lines skipped because they do not. It fails if reading fails or a line exceeds maxLineBytes.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			skipped++
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
			skipped++
			continue
		}
		l := Line{Fields: fields}
		l.LoggedAt, _ = fields[fieldTime].(float64)
		l.Host, _ = fields[fieldHost].(string)
		l.Message, _ = fields[fieldMessage].(string)
		lines = append(lines, l)
	}
	return lines, skipped, s.Err()
}

// SelectRequest returns the lines that have a request's ID, and the lines without a request about
// the upstreams to which it was sent, from contextWindow before its first line until its last,
// sorted by time. It returns no lines if none has the ID.
func SelectRequest(lines []Line, request string) []Line {
	var selected []Line
	upstreams := map[string]bool{}
	firstAt, lastAt := 0.0, 0.0
	for _, l := range lines {
		if l.Fields[fieldRequest] != request {
			continue
		}
		selected = append(selected, l)
		if name, ok := l.Fields["upstream"].(string); ok {
			upstreams[name] = true
		}
		if firstAt == 0 || l.LoggedAt < firstAt {
			firstAt = l.LoggedAt
		}
		lastAt = max(lastAt, l.LoggedAt)
	}
	contextFromAt := firstAt - float64(contextWindow.Milliseconds())
	for _, l := range lines {
		name, ok := l.Fields["upstream"].(string)
		if l.Fields[fieldRequest] == nil && ok && upstreams[name] && l.LoggedAt >= contextFromAt && l.LoggedAt <= lastAt {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return int(a.LoggedAt - b.LoggedAt) })
	return selected
}

// Write prints lines with their times in milliseconds relative to the first line.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			switch name {
			case fieldTime, fieldHost, fieldMessage, fieldLevel, fieldRequest:
				continue
			}
			fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
		if _, err := fmt.Fprintf(w, "%+9.0f ms  %s  %s: %s\n", l.LoggedAt-lines[0].LoggedAt, l.Host, l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
