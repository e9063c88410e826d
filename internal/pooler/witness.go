package pooler

import (
	"context"
	"time"
)

// closingTime is the time within which the end of a process closes all connections to it, also those that a proxy
// forwards.
const closingTime = 25 * time.Millisecond

// Witness is an idle connection that is kept to see whether the process that accepted it goes on. Release must be
// called.
type Witness struct {
	pool *Pool
	conn *conn
}

// Witness returns an idle connection to an address, or opens one.
func (p *Pool) Witness(ctx context.Context, address string) (*Witness, error) {
	c, _, err := p.connect(ctx, address, SendOptions{})
	if err != nil {
		return nil, err
	}
	if c.idleTimeout == 0 { // no request was sent on it
		c.idleTimeout = maxIdleTimeout
	}
	return &Witness{pool: p, conn: c}, nil
}

// Open reports whether the other end has not closed the connection.
func (w *Witness) Open() bool { return nothingReceived(w.conn.Conn) }

// Outlives reports whether the connection stays open for closingTime. It is false if ctx ends before.
func (w *Witness) Outlives(ctx context.Context) bool {
	passed := make(chan struct{})
	stop := w.pool.Timer.Once(closingTime, func() { close(passed) })
	defer stop()
	select {
	case <-passed:
	case <-ctx.Done():
		return false
	}
	return w.Open()
}

// Release makes the connection an idle one again, unless it was closed.
func (w *Witness) Release() {
	if !w.Open() {
		_ = w.conn.Conn.Close()
		return
	}
	w.pool.pushIdle(w.conn)
}
