package requester

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
)

const (
	readBufferBytes = 8 << 10
	// Maximum length of the data of one event, and of one line.
	maxEventBytes = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	endMarker  = []byte("[DONE]")
)

// EventReader reads the server-sent events of a completion stream. Set Answer, EventTimeout and the
// Budget of Hold before use; Hold must be released after it.
type EventReader struct {
	Answer *Answer
	// EventTimeout is the timeout for the next event after each event.
	EventTimeout time.Duration
	// Hold is what the event that is being read takes.
	Hold bufferer.Hold

	reader *bufio.Reader
	event  []byte
}

// Next returns the data of the next event, valid until the next call. It returns io.EOF when
// the stream has ended with the end marker "[DONE]"; other errors wrap ErrIncomplete or ErrStalled.
func (e *EventReader) Next() ([]byte, error) {
	if e.reader == nil {
		e.reader = bufio.NewReaderSize(e.Answer.Body, readBufferBytes)
	}
	e.event = e.event[:0]
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, e.wrapReadError(err)
		}
		switch {
		case len(line) == 0 && len(e.event) > 0:
			e.Answer.Watchdog.Restart(e.EventTimeout)
			if bytes.Equal(e.event, endMarker) {
				return nil, io.EOF
			}
			return e.event, nil
		case bytes.HasPrefix(line, dataPrefix):
			e.event = append(e.event, bytes.TrimPrefix(line[len(dataPrefix):], []byte(" "))...)
		}
		if err := e.Hold.Grow(int64(cap(e.event))); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		if len(e.event) > maxEventBytes {
			return nil, fmt.Errorf("%w: event is longer than %d bytes", ErrIncomplete, maxEventBytes)
		}
	}
}

// Buffered reports whether more data of the stream has already been received.
func (e *EventReader) Buffered() bool { return e.reader != nil && e.reader.Buffered() > 0 }

// readLine returns the next line without its line ending, valid until the next read.
func (e *EventReader) readLine() ([]byte, error) {
	line, err := e.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) <= maxEventBytes {
			line, err = e.reader.ReadSlice('\n')
			long = append(long, line...)
			if err := e.Hold.Grow(int64(cap(e.event) + cap(long))); err != nil {
				return nil, err
			}
		}
		line = long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (e *EventReader) wrapReadError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // io.EOF means that the end marker was read
	}
	if e.Answer.Stalled() {
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}
