package accepter

import "net"

// handshakeBytes is what a caller may send until the handshake of TLS has ended: a first message of 2 KB with a
// post-quantum key and a session ticket, and the last one. crypto/tls keeps up to 64 KB.
const handshakeBytes = 16 << 10

// handshakeConn is the connection below TLS. It bounds what is read in the handshake.
type handshakeConn struct {
	net.Conn
	// Used by the reader only.
	ended bool // the handshake has ended
	read  int  // bytes read in it
}

// Read fails once the caller has sent too much in the handshake.
func (c *handshakeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.ended {
		return n, err
	}
	if c.read += n; c.read > handshakeBytes {
		return 0, refusal
	}
	return n, err
}
