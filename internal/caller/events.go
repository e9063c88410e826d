package caller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	eventBufferBytes = 8 << 10
	// Longest event of a stream.
	eventLimitBytes = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Events reads the server-sent events of a completion stream.
type Events struct {
	Answer *Answer
	// Gap is the longest time between two events.
	Gap time.Duration

	reader *bufio.Reader
	event  []byte
}

// Next returns the data of the next event, valid until the next call. io.EOF says that
// the stream ended with its end mark. Other errors wrap ErrCut or ErrStalled.
func (e *Events) Next() ([]byte, error) {
	if e.reader == nil {
		e.reader = bufio.NewReaderSize(e.Answer.Body, eventBufferBytes)
	}
	e.event = e.event[:0]
	for {
		line, err := e.line()
		if err != nil {
			return nil, e.broken(err)
		}
		switch {
		case len(line) == 0 && len(e.event) > 0:
			e.Answer.Watch.Progress(e.Gap)
			if bytes.Equal(e.event, doneMark) {
				return nil, io.EOF
			}
			return e.event, nil
		case bytes.HasPrefix(line, dataPrefix):
			e.event = append(e.event, bytes.TrimPrefix(line[len(dataPrefix):], []byte(" "))...)
		}
		if len(e.event) > eventLimitBytes {
			return nil, fmt.Errorf("%w: event over %d bytes", ErrCut, eventLimitBytes)
		}
	}
}

// Buffered reports whether more of the stream has arrived already.
func (e *Events) Buffered() bool { return e.reader != nil && e.reader.Buffered() > 0 }

// line returns the next line without its end.
func (e *Events) line() ([]byte, error) {
	line, err := e.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) <= eventLimitBytes {
			line, err = e.reader.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (e *Events) broken(err error) error {
	if e.Answer.Stalled() {
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return fmt.Errorf("%w: %w", ErrCut, err)
}
