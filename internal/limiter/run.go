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
	// Longest time that a request waits for tokens.
	maxWait = 1500 * time.Millisecond
	// Delay before the next request for tokens if no lender is known or it did not answer.
	lenderRetryDelay = 100 * time.Millisecond
	// Shortest delay before the lender is asked again for tokens that it did not have.
	minRetryDelay = 5 * time.Millisecond
)

// Errors of Limiter.Reserve.
var (
	// ErrOverRate says that the customer's rate and burst do not allow the request now.
	ErrOverRate = errors.New("limiter: over the customer's rate")
	// ErrOverBurst says that the request needs more tokens than the customer's burst.
	ErrOverBurst = errors.New("limiter: over the customer's burst")
	// ErrUnknownCustomer says that there is no such customer.
	ErrUnknownCustomer = errors.New("limiter: unknown customer")
)

// OverRateError is an ErrOverRate with the time after which a retry may succeed.
type OverRateError struct{ RetryAfter time.Duration }

// Error returns the condition and the time after which to retry.
func (e *OverRateError) Error() string {
	return fmt.Sprintf("%v, retry in %v", ErrOverRate, e.RetryAfter)
}

// Unwrap returns ErrOverRate.
func (e *OverRateError) Unwrap() error { return ErrOverRate }

// Transport sends requests to other hosts. It must deliver each at most once.
type Transport interface {
	Donate(ctx context.Context, host string, r *schema.DonateRequest) (*schema.DonateReply, error)
	Grant(ctx context.Context, host string, r *schema.GrantRequest) (*schema.GrantReply, error)
}

// Limiter runs one host's Lender, Donor and Spender. Set the exported fields, then call
// Start.
type Limiter struct {
	Host      string
	Timer     *timer.Service
	Transport Transport
	Lender    *Lender
	Donor     *Donor
	Spender   *Spender
	// Background runs a call in a goroutine of its own. Nil: go.
	Background func(call func())

	mu     sync.Mutex
	queues map[string]*queue // by customer; guarded by mu
}

// Start begins to send lease renewals and usage reports, until ctx ends.
func (l *Limiter) Start(ctx context.Context) {
	l.Lender.Start()
	l.Donor.Start()
	l.Spender.Start()
	stop := l.Timer.Every(RoundInterval, func() { l.sendDue(ctx) })
	context.AfterFunc(ctx, stop)
}

// sendDue sends the renewals and reports that are due. The calls run concurrently, so that
// an unresponsive host delays no other.
func (l *Limiter) sendDue(ctx context.Context) {
	for host, r := range l.Donor.DueRenewals() {
		l.background(func() { l.sendDonation(ctx, host, r) })
	}
	for _, r := range l.Spender.DueReports() {
		if host := l.Donor.Lender(ShardOf(r.Customer)); host != "" {
			l.background(func() { l.requestGrant(ctx, host, r) })
		}
	}
	l.Lender.Prune()
}

func (l *Limiter) background(call func()) {
	if l.Background != nil {
		l.Background(call)
		return
	}
	go call()
}

func (l *Limiter) sendDonation(ctx context.Context, host string, r *schema.DonateRequest) {
	if host == l.Host {
		l.Donor.HandleReply(host, r, l.Lender.Donate(r))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if reply, err := l.Transport.Donate(ctx, host, r); err == nil {
		l.Donor.HandleReply(host, r, reply)
	}
}

func (l *Limiter) requestGrant(ctx context.Context, host string, r *schema.GrantRequest) *schema.GrantReply {
	sentAt := l.Timer.Now()
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
	l.Spender.HandleGrant(r.Customer, reply, sentAt)
	return reply
}

// Reserve takes n tokens for one request, and waits for them if they will be there soon. It
// returns one of this package's errors if the customer is unknown, n is above its burst or
// it is over its rate (wrapping ErrOverRate), or the error of ctx.
func (l *Limiter) Reserve(ctx context.Context, customer string, n float64) (*Reservation, error) {
	limits, known := l.Spender.Limits(customer)
	if !known {
		return nil, ErrUnknownCustomer
	}
	if n > limits.Burst {
		return nil, fmt.Errorf("%w: %.0f of %.0f tokens", ErrOverBurst, n, limits.Burst)
	}
	q, tokensAhead := l.joinQueue(customer, n)
	defer l.leaveQueue(customer, q, n)
	if tokensAhead == 0 {
		if r, _, _ := l.Spender.Reserve(customer, n); r != nil {
			return r, nil
		}
	}
	// Requests ahead in the queue get their tokens first, at the customer's rate at best.
	if wait := timer.Seconds(tokensAhead / max(limits.Rate, 1)); wait > maxWait {
		return nil, &OverRateError{RetryAfter: wait}
	}
	select {
	case q.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-q.turn }()
	return l.reserveInTurn(ctx, customer, n)
}

// reserveInTurn takes tokens for the request at the head of its customer's queue.
func (l *Limiter) reserveInTurn(ctx context.Context, customer string, n float64) (*Reservation, error) {
	startedAt := l.Timer.Now()
	for {
		r, missing, _ := l.Spender.Reserve(customer, n)
		if r != nil {
			return r, nil
		}
		delay, granted := l.requestTokens(ctx, customer, missing)
		if granted {
			continue
		}
		if left := maxWait - (l.Timer.Now() - startedAt); delay > left {
			return nil, &OverRateError{RetryAfter: delay}
		}
		if err := l.Timer.Sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
}

// queue is the requests of one customer that wait for tokens at this host. Only one at a time
// asks the lender, so that overload does not multiply messages.
type queue struct {
	turn          chan struct{} // holds an element while a request asks the lender
	requests      int
	waitingTokens float64
}

// joinQueue adds a request for n tokens to its customer's queue and returns the number of
// tokens that requests ahead of it wait for.
func (l *Limiter) joinQueue(customer string, n float64) (*queue, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queues == nil {
		l.queues = map[string]*queue{}
	}
	q := l.queues[customer]
	if q == nil {
		q = &queue{turn: make(chan struct{}, 1)}
		l.queues[customer] = q
	}
	tokensAhead := q.waitingTokens
	q.requests++
	q.waitingTokens += n
	return q, tokensAhead
}

func (l *Limiter) leaveQueue(customer string, q *queue, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.requests--
	q.waitingTokens -= n
	if q.requests == 0 {
		delete(l.queues, customer)
	}
}

// requestTokens asks the lender for missing tokens. It returns whether some were granted and,
// if not, the delay before the next request.
func (l *Limiter) requestTokens(ctx context.Context, customer string, missing float64) (time.Duration, bool) {
	host := l.Donor.Lender(ShardOf(customer))
	if host == "" {
		return lenderRetryDelay, false
	}
	r, _ := l.Spender.NewRequest(customer, missing)
	reply := l.requestGrant(ctx, host, r)
	switch {
	case reply == nil:
		return lenderRetryDelay, false
	case reply.Tokens > 0:
		return 0, true
	case reply.Retry < 0:
		return maxWait, false
	}
	return max(minRetryDelay, timer.Seconds(reply.Retry)), false
}

// Settle charges the tokens that a request really used and returns the number of them beyond
// its reservation.
func (l *Limiter) Settle(r *Reservation, used float64) float64 {
	return l.Spender.Settle(r, used)
}
