// Package proposer sends commands and membership changes to the control hosts, trying one
// after another until the leader answers. A command keeps its request ID over all attempts, so
// that the control hosts recognize a repeated one.
package proposer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	callTimeout = 2 * time.Second
	retryDelay  = 100 * time.Millisecond
)

// Errors of commands and membership changes.
var (
	// ErrRefused reports that a control host answered and refused the change.
	ErrRefused = errors.New("refused")
	// ErrNoAnswer reports that ctx ended before a control host accepted or refused the change.
	// It is unknown whether the change took effect.
	ErrNoAnswer = errors.New("no control host answered in time; send the change again with the same request identity")
	// ErrUnknownToken reports that a control host does not know the operator's token.
	ErrUnknownToken = errors.New("operator token is unknown")
)

// RefusedError wraps ErrRefused. Result holds the reason of the refusal and is not nil.
type RefusedError struct{ Result *schema.Result }

// Error returns the kind of refusal and its detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.Result.Refusal, e.Result.Detail)
}

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// Proposer is a client of the control hosts. Set the exported fields before use.
type Proposer struct {
	Dialer       *dialer.Dialer
	ControlHosts []*schema.Control
	// Token is an operator's token, or the secret that all hosts share.
	Token string
	Timer *timer.Service
}

// NewRequestID returns a new random request ID.
func NewRequestID() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails: the runtime aborts instead
	return hex.EncodeToString(b)
}

// Propose sends a command until a control host answers or ctx ends. It sets the command's
// request ID if that is empty. If the command was refused, it returns the result and a
// *RefusedError, or, for an invalid request, an error that wraps ErrRefused and no result.
func (p *Proposer) Propose(ctx context.Context, command *schema.Command) (*schema.Result, error) {
	if command.Request == "" {
		command.Request = NewRequestID()
	}
	var result *schema.Result
	err := p.callUntilAnswered(ctx, func(ctx context.Context, client schema.ControlServiceClient) error {
		var err error
		result, err = client.Propose(ctx, &schema.ProposeRequest{Command: command, Token: p.Token})
		return err
	})
	if err != nil {
		return nil, err
	}
	if result.Refusal != schema.Refusal_REFUSAL_NONE {
		return result, &RefusedError{Result: result}
	}
	return result, nil
}

// ChangeMember adds, promotes or removes one member of the control group. It sets the token of
// change.
func (p *Proposer) ChangeMember(ctx context.Context, change *schema.MemberChange) error {
	change.Token = p.Token
	return p.callUntilAnswered(ctx, func(ctx context.Context, client schema.ControlServiceClient) error {
		_, err := client.Change(ctx, change)
		return err
	})
}

// callUntilAnswered calls f for one control host after another, with a delay after each
// round, until f succeeds or a host rejects the token or the request. Any other error of f
// is retried. It returns ErrNoAnswer if ctx ends during the delay.
func (p *Proposer) callUntilAnswered(ctx context.Context, f func(context.Context, schema.ControlServiceClient) error) error {
	for {
		for _, c := range p.ControlHosts {
			err := p.callHost(ctx, c, f)
			if err == nil {
				return nil
			}
			if code := status.Code(err); code == codes.Unauthenticated {
				return ErrUnknownToken
			} else if code == codes.InvalidArgument {
				return fmt.Errorf("%w: %s", ErrRefused, status.Convert(err).Message())
			}
		}
		if err := p.Timer.Sleep(ctx, retryDelay); err != nil {
			return ErrNoAnswer
		}
	}
}

func (p *Proposer) callHost(ctx context.Context, c *schema.Control, f func(context.Context, schema.ControlServiceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := p.Dialer.ControlClient(c.Address)
	if err != nil {
		return err
	}
	return f(ctx, client)
}

// States requests the state of every control host. The result has one element per control
// host, in their order; it is nil for a host that did not answer.
func (p *Proposer) States(ctx context.Context) []*schema.StateReply {
	states := make([]*schema.StateReply, len(p.ControlHosts))
	for i, c := range p.ControlHosts {
		_ = p.callHost(ctx, c, func(ctx context.Context, client schema.ControlServiceClient) error {
			var err error
			states[i], err = client.State(ctx, &schema.StateRequest{Token: p.Token})
			return err
		})
	}
	return states
}
