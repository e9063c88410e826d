package pooler

import (
	"cmp"
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
	// idleSince is the time on the Pool's Timer since which the connection is idle.
	idleSince time.Duration
}

// Witness returns an idle connection to an address, or opens one.
func (p *Pool) Witness(ctx context.Context, address string) (*Witness, error) {
	c, _, err := p.connect(ctx, address, SendOptions{})
	if err != nil {
		return nil, err
	}
	c.idleTimeout = cmp.Or(c.idleTimeout, maxIdleTimeout)
	return &Witness{pool: p, conn: c, idleSince: cmp.Or(c.idleSince, p.Timer.Now())}, nil
}

// OpenedAt returns a time on the clock of the Pool's Timer just before the connection was opened.
func (w *Witness) OpenedAt() time.Duration { return w.conn.openedAt }

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

// Release makes the connection an idle one again, idle since it was, unless the other end has closed it.
func (w *Witness) Release() {
	if !w.Open() {
		_ = w.conn.Conn.Close()
		return
	}
	w.pool.pushIdle(w.conn, w.idleSince)
}
