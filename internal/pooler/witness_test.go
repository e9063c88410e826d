package pooler

import (
	"context"
	"net"
	"testing"
)

// TestWitnessWithoutTime guards against taking a witness that was not watched for closingTime, as the request ended
// before, for one that outlived a response.
func TestWitnessWithoutTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	w, err := newPool(t).Witness(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer w.Release()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if w.Outlives(ctx) {
		t.Error("a witness that was not watched outlives the response")
	}
	if !w.Outlives(t.Context()) {
		t.Error("an open witness does not outlive the response")
	}
}
