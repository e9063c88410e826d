package allocator

import (
	"context"
	"errors"
	"math"
	"time"
)

const (
	// Fraction of a lender's part of the burst that it lends ahead of need in loanDuration: tokens
	// lent in one time window and spent in the next come on top of what the next one allows.
	lenderAheadFraction = 0.25
	// Minimum interval between two requests to the leader for one borrower's request.
	minDrawInterval = 20 * time.Millisecond
	// Timeout of a request to the leader: a round trip to another region and one retransmission.
	drawTimeout = 800 * time.Millisecond
)

// Lender lends tokens of customers to the entry hosts that report to this control host, out of
// the control host's own Bucket. Set the exported fields before use.
type Lender struct {
	Bucket *Bucket
	// Draw requests tokens for the Bucket from the leader's reserve: at least minTokens, maxTokens
	// if it can. If the leader lends none, it returns the time until minTokens would be available. If the leader
	// cannot know yet whether it may lend, it returns a StartingError.
	Draw func(ctx context.Context, customer string, minTokens, maxTokens float64) (float64, time.Duration, error)
	// Background runs a function that requests tokens ahead of need. Nil: in a goroutine.
	Background func(func())
}

// Lend lends at least minTokens of a customer's tokens, at most maxTokens. With minTokens 0 the
// tokens are for requests to come. If it lends none to a request in need, retry is the time after
// which it may. It lends all of maxTokens to a customer without a limit, and none to an unknown
// one. An error means that no tokens were lent as the leader did not answer or, if it wraps ErrStarting, as it cannot
// know yet whether there are any.
func (l *Lender) Lend(ctx context.Context, customer string, minTokens, maxTokens float64) (tokens float64, retry time.Duration, err error) {
	limits, known := l.Bucket.Limits(customer)
	switch {
	case !known:
		return 0, maxRetryDelay, nil
	case limits.Rate <= 0:
		return maxTokens, 0, nil
	}
	if minTokens > 0 {
		retry, err := l.take(ctx, customer, minTokens)
		if retry > 0 || err != nil {
			return 0, retry, err
		}
	}
	tokens = minTokens + l.Bucket.takeAhead(customer, maxTokens-minTokens, minTokens == 0)
	if wanted := l.Bucket.BeginBorrowAhead(customer, initialSize); wanted > 0 {
		l.background(func() { l.drawAhead(context.WithoutCancel(ctx), customer, wanted) })
	}
	return tokens, 0, nil
}

func (l *Lender) background(f func()) {
	if l.Background != nil {
		l.Background(f)
		return
	}
	go f()
}

// take takes tokens from the Bucket, and from the leader those that it lacks. A retry above 0 means
// that it took none, and that the tokens may be available after that time.
func (l *Lender) take(ctx context.Context, customer string, tokens float64) (retry time.Duration, err error) {
	_, err = l.Bucket.Take(customer, tokens)
	var over *OverRateError
	if !errors.As(err, &over) {
		return 0, err
	}
	switch {
	case over.RetryAfter > 0 && over.Learning > 0:
		return 0, &StartingError{RetryAfter: over.Learning}
	case over.RetryAfter > 0:
		return over.RetryAfter, nil
	}
	// The tokens of a reply that comes after the borrower has given up are for the next one.
	drawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drawTimeout)
	defer cancel()
	lent, retry, err := l.Draw(drawCtx, customer, over.MissingTokens, over.MissingTokens+over.DemandRate*BorrowAheadDuration.Seconds())
	var starting *StartingError
	if errors.As(err, &starting) {
		l.Bucket.RecordStarting(customer, max(starting.RetryAfter, minDrawInterval))
	}
	if err != nil {
		return 0, err
	}
	l.Bucket.RecordLoan(customer, lent, max(retry, minDrawInterval))
	err = l.Bucket.RetryTake(customer, tokens)
	if errors.As(err, &over) {
		return max(over.RetryAfter, minDrawInterval), nil
	}
	return 0, err
}

// drawAhead requests tokens for requests to come, so that these need not wait for the leader.
func (l *Lender) drawAhead(ctx context.Context, customer string, maxTokens float64) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	tokens, _, err := l.Draw(ctx, customer, 0, maxTokens)
	if err != nil {
		tokens = 0 // the next request in need asks again, and reports the error
	}
	l.Bucket.RecordLoanAhead(customer, tokens)
}

// takeAhead takes up to maxTokens that are to be lent for requests to come: at most half of the
// level, and lenderAheadFraction of the burst in loanDuration. A loan that stands alone is not worth
// its call if it is smaller than half of maxTokens.
func (b *Bucket) takeAhead(customer string, maxTokens float64, alone bool) float64 {
	limits, _ := b.Limits(customer)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	a := b.account(customer, limits, now)
	_, burst := b.hostLimits(a, limits, now)
	maxAhead := burst * lenderAheadFraction
	a.lentAhead = math.Max(0, a.lentAhead-maxAhead*(now-a.lentAheadAt).Seconds()/loanDuration.Seconds())
	a.lentAheadAt = now
	tokens := math.Max(0, math.Min(math.Min(maxTokens, a.level/2), maxAhead-a.lentAhead))
	if alone && tokens < maxTokens/2 {
		return 0
	}
	a.lentAhead += tokens
	a.level -= tokens
	a.countSpent(tokens, now)
	a.demandTokens += tokens // later requests that are paid with these are not reported here
	return tokens
}
