package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
)

const (
	// Timeout of a request for a loan: a control host may have to ask the leader, in another region,
	// and one message may be sent again.
	borrowTimeout = 800 * time.Millisecond
	// Maximum time that a request waits for tokens, as a fraction of its latency objective.
	maxTokenWaitFraction = 0.35
	// Minimum interval between two requests for a loan for one caller's request.
	minBorrowInterval = 20 * time.Millisecond
)

// charge takes a request's tokens from its customer's limits. If what this host has
// borrowed does not cover them, it borrows more, and waits if they will be available soon.
func (f *Forwarder) charge(ctx context.Context, r *Request) error {
	if r.customer == nil {
		return nil
	}
	tokens := r.tokens()
	_, err := f.Bucket.Take(r.customer.Name, tokens)
	waitUntil := min(f.Timer.Now()+r.tokenWait(), r.answerUntil) // an objective may be longer than the timeout
	for err != nil {
		var over *allocator.OverRateError
		if !errors.As(err, &over) {
			return err
		}
		if err := f.borrow(ctx, r, over, waitUntil); err != nil {
			return err
		}
		err = f.Bucket.RetryTake(r.customer.Name, tokens)
	}
	r.chargedTokens = tokens
	if maxTokens := f.Bucket.BeginBorrowAhead(r.customer.Name, tokens); maxTokens > 0 {
		go confiner.Call(f.Log, "borrow", func() { f.borrowAhead(r.customer.Name, maxTokens) })
	}
	return nil
}

// tokens returns the number of tokens that the request's customer is charged.
func (r *Request) tokens() float64 {
	if r.TokensStated {
		return r.StatedTokens
	}
	return r.customer.Plain
}

// tokenWait returns the longest time that the request waits for tokens.
func (r *Request) tokenWait() time.Duration {
	return time.Duration(maxTokenWaitFraction * float64(seconds(r.route.Objective)))
}

// refuseOver returns the error for tokens that cannot be available within remaining, nil if they may be.
func refuseOver(over *allocator.OverRateError, remaining time.Duration) error {
	if over.RetryAfter > remaining || remaining <= 0 {
		return &allocator.OverRateError{Customer: over.Customer, RetryAfter: max(over.RetryAfter, minBorrowInterval), Learning: over.Learning}
	}
	return nil
}

// borrowAhead borrows tokens for requests to come, so that these need not wait for a
// control host's reply.
func (f *Forwarder) borrowAhead(customer string, maxTokens float64) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	tokens := 0.0
	defer func() { f.Bucket.RecordLoanAhead(customer, tokens) }() // also after a panic, or none is borrowed ahead again
	var err error
	if tokens, _, err = f.Borrow(ctx, customer, 0, maxTokens); err != nil {
		f.Log.Warn().Err(err).Str("customer", customer).Msg("borrowing tokens in advance failed")
	}
}

// borrow asks a control host once, or waits until it may be asked again. It returns an error
// if the tokens cannot be available by waitUntil.
func (f *Forwarder) borrow(ctx context.Context, r *Request, over *allocator.OverRateError, waitUntil time.Duration) error {
	if err := refuseOver(over, waitUntil-f.Timer.Now()); err != nil {
		return err
	}
	if over.RetryAfter > 0 {
		return f.Timer.Sleep(ctx, max(over.RetryAfter, minBorrowInterval))
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	maxTokens := over.MissingTokens + over.DemandRate*allocator.BorrowAheadDuration.Seconds()
	tokens, retry, err := f.Borrow(ctx, over.Customer, over.MissingTokens, maxTokens)
	var starting *allocator.StartingError
	if errors.As(err, &starting) {
		f.Bucket.RecordStarting(over.Customer, max(starting.RetryAfter, minBorrowInterval))
		return nil
	}
	if err != nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Cause: causeNoLender, RetryAfter: staleRetryDelay, Err: err}
	}
	f.Bucket.RecordLoan(over.Customer, tokens, max(retry, minBorrowInterval))
	return nil
}

// refund returns the tokens of a request that did not run.
func (f *Forwarder) refund(r *Request) {
	if r.customer != nil && r.chargedTokens > 0 {
		f.Bucket.Refund(r.customer.Name, r.chargedTokens)
	}
}
