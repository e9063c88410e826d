// Package proposer sends changes to whichever control host leads, again and again under
// the same request identity until one answers.
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
	pause       = 100 * time.Millisecond
)

// Errors of proposals.
var (
	// ErrRefused says that the change was considered and refused.
	ErrRefused = errors.New("refused")
	// ErrUnknown says that no answer came; the change may or may not be accepted.
	ErrUnknown = errors.New("no control host answered in time; send the change again with the same request identity")
	// ErrToken says that the operator's token is unknown.
	ErrToken = errors.New("operator token is unknown")
)

// Refused is ErrRefused with the reason.
type Refused struct{ Result *schema.Result }

// Error returns the reason.
func (e *Refused) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.Result.Refusal, e.Result.Detail)
}

// Unwrap makes a Refused an ErrRefused.
func (e *Refused) Unwrap() error { return ErrRefused }

// Proposer knows the control hosts. Set the exported fields before use.
type Proposer struct {
	Dialer   *dialer.Dialer
	Controls []*schema.Control
	// Token is an operator's token, or the hosts' secret.
	Token string
	Timer *timer.Service
}

// NewRequest returns a fresh request identity.
func NewRequest() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never fails: the runtime aborts instead
	return hex.EncodeToString(b)
}

// Propose sends a command until it is answered or ctx ends.
func (p *Proposer) Propose(ctx context.Context, command *schema.Command) (*schema.Result, error) {
	if command.Request == "" {
		command.Request = NewRequest()
	}
	var result *schema.Result
	err := p.each(ctx, func(ctx context.Context, client schema.ControlServiceClient) error {
		var err error
		result, err = client.Propose(ctx, &schema.ProposeRequest{Command: command, Token: p.Token})
		return err
	})
	if err != nil {
		return nil, err
	}
	if result.Refusal != schema.Refusal_REFUSAL_NONE {
		return result, &Refused{Result: result}
	}
	return result, nil
}

// Change changes the control hosts by one member.
func (p *Proposer) Change(ctx context.Context, change *schema.MemberChange) error {
	change.Token = p.Token
	return p.each(ctx, func(ctx context.Context, client schema.ControlServiceClient) error {
		_, err := client.Change(ctx, change)
		return err
	})
}

// each calls f with one control host after another until one accepts.
func (p *Proposer) each(ctx context.Context, f func(context.Context, schema.ControlServiceClient) error) error {
	for {
		for _, c := range p.Controls {
			err := p.call(ctx, c, f)
			if err == nil {
				return nil
			}
			if code := status.Code(err); code == codes.Unauthenticated {
				return ErrToken
			} else if code == codes.InvalidArgument {
				return fmt.Errorf("%w: %s", ErrRefused, status.Convert(err).Message())
			}
		}
		if err := p.Timer.Sleep(ctx, pause); err != nil {
			return ErrUnknown
		}
	}
}

func (p *Proposer) call(ctx context.Context, c *schema.Control, f func(context.Context, schema.ControlServiceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := p.Dialer.Control(c.Address)
	if err != nil {
		return err
	}
	return f(ctx, client)
}

// States asks every control host for its state; nil for one that does not answer.
func (p *Proposer) States(ctx context.Context) []*schema.StateReply {
	states := make([]*schema.StateReply, len(p.Controls))
	for i, c := range p.Controls {
		_ = p.call(ctx, c, func(ctx context.Context, client schema.ControlServiceClient) error {
			var err error
			states[i], err = client.State(ctx, &schema.StateRequest{Token: p.Token})
			return err
		})
	}
	return states
}
