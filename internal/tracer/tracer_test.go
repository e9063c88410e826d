package tracer

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const logs = `{"level":"info","host":"control-1","upstream":"u1","leaving":true,"time":9000,"message":"upstream changed"}
{"level":"info","host":"control-1","upstream":"u2","gone":true,"time":9500,"message":"upstream changed"}
{"level":"info","host":"control-1","upstream":"u1","cold":3,"time":1000,"message":"upstream changed"}
  12.5 entry-1 {"level":"warn","host":"entry-1","request":"r1","error":"the connection ended","upstream":"u1","time":10300,"message":"try failed"}
{"level":"info","host":"entry-1","request":"r1","upstream":"u1","certainty":410.5,"time":10000,"message":"placed"}
{"level":"info","host":"entry-1","request":"r2","upstream":"u1","time":10001,"message":"placed"}
panic: not a line
{"level":"info","host":"entry-1","request":"r1","status":502,"cause":"the connection ended","time":10301,"message":"refused"}
`

// TestRequestSelectedAndWritten guards against lines about a request being lost, and against
// lines about other requests, other upstreams or earlier times being shown. The log has prefixed
// lines, a line that is not JSON, and lines that are not in the order of their times.
func TestRequestSelectedAndWritten(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(logs))
	if err != nil || skipped != 1 {
		t.Fatalf("%d lines skipped, want 1; error %v", skipped, err)
	}
	var got strings.Builder
	if err := Write(&got, SelectRequest(lines, "r1")); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/trace.golden")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("trace of one request (-want +got):\n%s", diff)
	}
	if found := SelectRequest(lines, "r9"); len(found) != 0 {
		t.Errorf("lines of a request that is not in the log: %v", found)
	}
}
