package limiter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	callTimeout = 800 * time.Millisecond
	// Longest wait for tokens that are about to be there.
	longestWait = 1500 * time.Millisecond
	// Pause before asking again when no lender is known.
	lenderPause = 100 * time.Millisecond
	// Share of the missing time waited before asking again, at least.
	shortestPause = 5 * time.Millisecond
)

// Errors of reservations.
var (
	// ErrLimited says that the customer's rate and burst do not allow the work now.
	ErrLimited = errors.New("limiter: over the customer's rate")
	// ErrTooLarge says that the work needs more tokens than the customer's burst.
	ErrTooLarge = errors.New("limiter: over the customer's burst")
	// ErrUnknown says that there is no such customer.
	ErrUnknown = errors.New("limiter: unknown customer")
)

// Limited is ErrLimited with the time after which a retry may succeed.
type Limited struct{ Retry time.Duration }

// Error describes the refusal.
func (e *Limited) Error() string { return fmt.Sprintf("%v, retry in %v", ErrLimited, e.Retry) }

// Unwrap makes a Limited an ErrLimited.
func (e *Limited) Unwrap() error { return ErrLimited }

// Transport carries requests to other hosts, at most once each.
type Transport interface {
	Donate(ctx context.Context, host string, r *schema.DonateRequest) (*schema.DonateReply, error)
	Grant(ctx context.Context, host string, r *schema.GrantRequest) (*schema.GrantReply, error)
}

// Limiter joins the three parts on one host. Set the exported fields, then call Start.
type Limiter struct {
	Host      string
	Timer     *timer.Service
	Transport Transport
	Lender    *Lender
	Donor     *Donor
	Spender   *Spender

	mu    sync.Mutex
	lines map[string]*line // by customer; guarded by mu
}

// Start begins renewing and reporting until ctx ends.
func (l *Limiter) Start(ctx context.Context) {
	l.Lender.Start()
	l.Donor.Start()
	l.Spender.Start()
	stop := l.Timer.Every(RoundInterval, func() { l.round(ctx) })
	context.AfterFunc(ctx, stop)
}

// round sends what is due. Calls run side by side: a silent host delays no other.
func (l *Limiter) round(ctx context.Context) {
	for host, r := range l.Donor.Renewals() {
		go l.donate(ctx, host, r)
	}
	for _, r := range l.Spender.Reports() {
		if host := l.Donor.Lender(ShardOf(r.Customer)); host != "" {
			go l.grant(ctx, host, r)
		}
	}
	l.Lender.Prune()
}

func (l *Limiter) donate(ctx context.Context, host string, r *schema.DonateRequest) {
	if host == l.Host {
		l.Donor.Replied(host, r, l.Lender.Donate(r))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if reply, err := l.Transport.Donate(ctx, host, r); err == nil {
		l.Donor.Replied(host, r, reply)
	}
}

func (l *Limiter) grant(ctx context.Context, host string, r *schema.GrantRequest) *schema.GrantReply {
	sent := l.Timer.Now()
	var reply *schema.GrantReply
	if host == l.Host {
		reply = l.Lender.Grant(r)
	} else {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var err error
		if reply, err = l.Transport.Grant(ctx, host, r); err != nil {
			return nil
		}
	}
	l.Spender.Granted(r.Customer, reply, sent)
	return reply
}

// Reserve takes tokens for one request, waiting a little for tokens that are about to be
// there. The error wraps ErrLimited, ErrTooLarge or ErrUnknown, or is that of ctx.
func (l *Limiter) Reserve(ctx context.Context, customer string, n float64) (*Reservation, error) {
	terms, known := l.Spender.Terms(customer)
	if !known {
		return nil, ErrUnknown
	}
	if n > terms.Burst {
		return nil, fmt.Errorf("%w: %.0f of %.0f tokens", ErrTooLarge, n, terms.Burst)
	}
	line, ahead := l.join(customer, n)
	defer l.leave(customer, line, n)
	if ahead == 0 {
		if r, _, _ := l.Spender.Reserve(customer, n); r != nil {
			return r, nil
		}
	}
	// Those ahead get their tokens first, at the customer's rate at best.
	if wait := time.Duration(ahead / max(terms.Rate, 1) * float64(time.Second)); wait > longestWait {
		return nil, &Limited{Retry: wait}
	}
	select {
	case line.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-line.turn }()
	return l.reserveNext(ctx, customer, n)
}

// reserveNext takes tokens for the request whose turn it is among its customer's.
func (l *Limiter) reserveNext(ctx context.Context, customer string, n float64) (*Reservation, error) {
	begun := l.Timer.Now()
	for {
		r, missing, _ := l.Spender.Reserve(customer, n)
		if r != nil {
			return r, nil
		}
		pause, got := l.ask(ctx, customer, missing)
		if got {
			continue
		}
		if left := longestWait - (l.Timer.Now() - begun); pause > left {
			return nil, &Limited{Retry: pause}
		}
		if err := l.Timer.Sleep(ctx, pause); err != nil {
			return nil, err
		}
	}
}

// line is the requests of one customer that wait for tokens at this host. One asks the
// lender at a time, so that an overload does not multiply messages.
type line struct {
	turn    chan struct{}
	members int
	tokens  float64
}

// join adds a request to its customer's line and returns how many tokens wait ahead of it.
func (l *Limiter) join(customer string, n float64) (*line, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines == nil {
		l.lines = map[string]*line{}
	}
	x := l.lines[customer]
	if x == nil {
		x = &line{turn: make(chan struct{}, 1)}
		l.lines[customer] = x
	}
	ahead := x.tokens
	x.members++
	x.tokens += n
	return x, ahead
}

func (l *Limiter) leave(customer string, x *line, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x.members--
	x.tokens -= n
	if x.members == 0 {
		delete(l.lines, customer)
	}
}

// ask asks the lender for tokens. It returns whether some came, else how long to wait.
func (l *Limiter) ask(ctx context.Context, customer string, missing float64) (time.Duration, bool) {
	host := l.Donor.Lender(ShardOf(customer))
	if host == "" {
		return lenderPause, false
	}
	r, _ := l.Spender.Ask(customer, missing)
	reply := l.grant(ctx, host, r)
	switch {
	case reply == nil:
		return lenderPause, false
	case reply.Tokens > 0:
		return 0, true
	case reply.Retry < 0:
		return longestWait, false
	}
	return max(shortestPause, time.Duration(reply.Retry*float64(time.Second))), false
}

// Settle charges what a request really used and returns what it used beyond its reservation.
func (l *Limiter) Settle(r *Reservation, used float64) float64 {
	return l.Spender.Settle(r, used)
}
