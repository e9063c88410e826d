package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
)

const (
	// Longest time that a question for tokens may take: the way to another region and back,
	// and one retransmission.
	borrowTimeout = 800 * time.Millisecond
	// Longest time that a request waits for tokens, as a part of its objective.
	borrowPart = 0.35
	// Shortest pause between two questions for one request.
	borrowPause = 20 * time.Millisecond
)

// charge takes a request's tokens off its customer's limits. Where this host's part does
// not hold them it borrows from the leader, and waits a little if they are there soon.
func (f *Forwarder) charge(ctx context.Context, r *Request) error {
	if r.customer == nil {
		return nil
	}
	tokens := r.customer.Plain
	if r.Counted {
		tokens = float64(r.Input + r.Output)
	}
	_, err := f.Bucket.Take(r.customer.Name, tokens)
	end := f.Timer.Now() + time.Duration(borrowPart*float64(seconds(r.route.Objective)))
	for err != nil {
		var over *allocator.Over
		if !errors.As(err, &over) {
			return err
		}
		if err := f.borrow(ctx, r, over, end); err != nil {
			return err
		}
		err = f.Bucket.Retake(r.customer.Name, tokens)
	}
	r.tokens = tokens
	if wish := f.Bucket.Ahead(r.customer.Name, tokens); wish > 0 {
		go f.borrowAhead(r.customer.Name, wish)
	}
	return nil
}

// borrowAhead asks the leader for tokens of requests to come, so that they need not wait
// for its answer.
func (f *Forwarder) borrowAhead(customer string, wish float64) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	tokens, _, err := f.Borrow(ctx, customer, 0, wish)
	if err != nil {
		f.Log.Warn().Err(err).Str("customer", customer).Msg("nothing borrowed ahead")
	}
	f.Bucket.LentAhead(customer, tokens)
}

// borrow asks the leader once, or waits until it may be asked again. It returns an error
// if the tokens cannot be there by end.
func (f *Forwarder) borrow(ctx context.Context, r *Request, over *allocator.Over, end time.Duration) error {
	left := end - f.Timer.Now()
	if over.Retry > left || left <= 0 {
		return &allocator.Over{Customer: over.Customer, Retry: max(over.Retry, borrowPause)}
	}
	if over.Retry > 0 {
		return f.Timer.Sleep(ctx, max(over.Retry, borrowPause))
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	wish := over.Missing + over.Pace*allocator.AheadTime.Seconds()
	tokens, retry, err := f.Borrow(ctx, over.Customer, over.Missing, wish)
	if err != nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Cause: causeNoLender, Retry: staleRetry, Err: err}
	}
	f.Bucket.Lent(over.Customer, tokens, max(retry, borrowPause))
	return nil
}

// refund gives the tokens of a request back that did not run.
func (f *Forwarder) refund(r *Request) {
	if r.customer != nil && r.tokens > 0 {
		f.Bucket.Refund(r.customer.Name, r.tokens)
	}
}
