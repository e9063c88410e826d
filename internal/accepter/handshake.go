package accepter

import "net"

const (
	// handshakeBytes is what a caller may send until the handshake of TLS has ended: a first message of 2 KB with a
	// post-quantum key and a session ticket, and the last one. crypto/tls keeps up to 64 KB.
	handshakeBytes = 16 << 10
	// recordBytes is what a caller may send after it without any data for the server: more than two records, as the rest
	// of one may come with the next. crypto/tls keeps a message of up to 256 KB until it is whole.
	recordBytes = 40 << 10
)

// handshakeConn is the connection below TLS. It bounds what is read in the handshake, and later without data.
type handshakeConn struct {
	net.Conn
	// Used by the reader only.
	ended bool // the handshake has ended
	read  int  // bytes read in it, or since the server last got data
}

// Read fails once the caller has sent too much that is not data.
func (c *handshakeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	limit := handshakeBytes
	if c.ended {
		limit = recordBytes
	}
	if c.read += n; c.read > limit {
		return 0, refusal
	}
	return n, err
}
