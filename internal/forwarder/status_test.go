package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestStatusesThatAreNone guards against a response without a valid status that a caller gets as an answer.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "000 x", "020 x", "099 x", "2OO OK", "20 OK", "2000 OK", ""} {
		for path, want := range map[string]result{
			"/unsafe/x": {Status: 502, Cause: causeLost},
			"/stream/x": {Status: 502, Cause: causeLost},
			"/safe/x":   {Status: 200, Body: "good", Finished: true},
		} {
			response := "HTTP/1.1 " + status + "\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
			s := newSystem(t, []scriptStep{cutStep(t, response, len(response), false)}, []scriptStep{text(200, "good")})
			s.preferFirst()
			if diff := cmp.Diff(want, s.call(path, "")); diff != "" {
				t.Errorf("status %q, %s: -want +got\n%s", status, path, diff)
			}
		}
	}
}
