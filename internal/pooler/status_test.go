package pooler

import (
	"errors"
	"fmt"
	"testing"
)

// TestStatusesThatAreNone guards against a response without a valid status that passes for an answer.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "000 x", "00", "0000 x", "020 x", "099 x", "+20 x", "-20 x", "2OO OK", "20 OK", "2000 OK", "101 x", ""} {
		for _, framing := range []string{"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\nok"} {
			t.Run(fmt.Sprintf("%q, %.9q", status, framing), func(t *testing.T) {
				t.Parallel()
				p, address := newPool(t), newUpstream(t, []string{"HTTP/1.1 " + status + "\r\n" + framing + closeMark})
				if answer, _, err := exchange(t, p, address, ""); !errors.Is(err, ErrMalformedResponse) {
					t.Errorf("body %q, error %v, want ErrMalformedResponse", answer, err)
				}
			})
		}
	}
}
