package pooler

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// brokenBody is a body whose reading panics.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { panic("broken") }

// TestPanicWhileWriting guards against a process that ends, with all its requests, because writing one request to an
// upstream panicked. The request fails at once; it does not wait for a response.
func TestPanicWhileWriting(t *testing.T) {
	p, address := newPool(t), newUpstream(t, []string{completeResponse})
	var log strings.Builder
	p.Log = zerolog.New(&log)
	r := newRequest("body")
	r.Body = io.NopCloser(brokenBody{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	call, err := p.Send(ctx, address, r, SendOptions{})
	if err == nil {
		call.Close()
	}
	if !errors.Is(err, ErrConnectionLost) || ctx.Err() != nil {
		t.Errorf("error %v, want ErrConnectionLost", err)
	}
	if !strings.Contains(log.String(), `"work":"write","panic":"broken"`) {
		t.Errorf("log: %s", log.String())
	}
}
