package server

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
)

// TestDeliveredStreamIsBounded guards against a stream without end that is kept to be resumed, until its host
// runs out of memory: one stream and all together are bounded.
func TestDeliveredStreamIsBounded(t *testing.T) {
	event := make([]byte, 1000)
	budget := &bufferer.Budget{Max: 1 << 40}
	d := deliveredStream{hold: bufferer.Hold{Budget: budget}}
	var err error
	for n := 0; err == nil && n < 2*maxAnswerBytes/len(event); n++ {
		err = d.add(event)
	}
	if !errors.Is(err, bufferer.ErrTooLong) || d.bytes > maxAnswerBytes+int64(2*len(event)) {
		t.Errorf("one stream: %d bytes kept, error %v", d.bytes, err)
	}
	d.hold.Release()
	if budget.Used() != 0 {
		t.Errorf("%d bytes are still taken", budget.Used())
	}
	budget.Max = 1 << 20
	streams := make([]deliveredStream, 64)
	kept := int64(0)
	for i := range streams {
		streams[i].hold.Budget = budget
		for err = nil; err == nil; {
			err = streams[i].add(event)
		}
		if !errors.Is(err, bufferer.ErrExhausted) {
			t.Errorf("stream %d: error %v", i, err)
		}
		kept += int64(len(streams[i].events) * len(event))
	}
	if most := budget.Max + int64(len(streams)*bufferer.FreeBytes); kept > most {
		t.Errorf("%d bytes kept of all streams, want at most %d", kept, most)
	}
}

// TestBodiesWithoutMemory guards against long bodies of many callers that exhaust the memory together.
func TestBodiesWithoutMemory(t *testing.T) {
	s := &Server{}
	read := func(n int) error {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewReader(make([]byte, n)))
		_, err := s.readBody(httptest.NewRecorder(), r)
		return err
	}
	if err := read(1000); err != nil {
		t.Errorf("a short body without memory: %v", err)
	}
	if got := refusalOf(read(1 << 20)); got.Status != http.StatusServiceUnavailable {
		t.Errorf("a long body without memory: status %d, want 503", got.Status)
	}
	s.buffers.Max = maxBufferBytes
	if err := read(maxBodyBytes); err != nil {
		t.Errorf("the longest body: %v", err)
	}
	if got := refusalOf(read(maxBodyBytes + 1)); got.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body that is too long: status %d, want 413", got.Status)
	}
	if s.buffers.Used() != 0 {
		t.Errorf("%d bytes are still taken", s.buffers.Used())
	}
}
