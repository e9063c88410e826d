package controller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// AcceptsOperatorToken reports whether a gRPC method may be called with an operator's token in
// place of the secret of hosts.
func AcceptsOperatorToken(method string) bool {
	switch method {
	case schema.ControlService_Propose_FullMethodName, schema.ControlService_State_FullMethodName, schema.ControlService_Change_FullMethodName:
		return true
	}
	return false
}

// Service implements the gRPC service of a Controller.
type Service struct {
	schema.UnimplementedControlServiceServer
	Controller *Controller
}

// Replicate steps the replica with messages of another one. Invalid ones are refused, the others count.
func (s *Service) Replicate(_ context.Context, batch *schema.Messages) (*schema.Empty, error) {
	c := s.Controller
	c.senders.learnAddress(batch.From, batch.Address)
	var messages []*schema.Message
	refused := 0
	var lastErr error
	for _, m := range batch.Messages {
		if err := checkContent(m); err != nil {
			refused, lastErr = refused+1, err
			continue
		}
		messages = append(messages, m)
	}
	c.step(func(r *replicator.Replica) {
		for _, m := range messages {
			if m.To != r.ID {
				continue
			}
			if err := r.Step(m); err != nil {
				refused, lastErr = refused+1, err
			}
		}
	})
	if refused > 0 {
		c.metrics.messagesRefused.Add(float64(refused))
		c.Log.Warn().Err(lastErr).Uint64("from", batch.From).Str("address", batch.Address).Int("refused", refused).Int("messages", len(batch.Messages)).
			Msg("messages of the log refused")
	}
	return &schema.Empty{}, nil
}

// checkContent returns an error if a message carries a state or a command that cannot be decoded. It must be
// found before the replica takes the message: what is in the log is applied at every start.
func checkContent(m *schema.Message) error {
	if m.Snapshot != nil {
		if _, err := configurer.Decode(m.Snapshot.State); err != nil {
			return fmt.Errorf("controller: snapshot up to entry %d: %w", m.Snapshot.Index, err)
		}
	}
	for _, e := range m.Entries {
		if e.Kind != schema.EntryKind_ENTRY_COMMAND {
			continue
		}
		if err := proto.Unmarshal(e.Data, &schema.Command{}); err != nil {
			return fmt.Errorf("controller: command in entry %d: %w", e.Index, err)
		}
	}
	return nil
}

// OperatorName returns the name of the operator with this token, and false if there is none. The
// name is "host" if the token is the secret that hosts share.
func OperatorName(settings *schema.Settings, token string) (string, bool) {
	if token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(settings.Secret)) == 1 {
		return "host", true
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	name, found := "", false
	for _, o := range settings.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(o.Hash)) == 1 {
			name, found = o.Name, true
		}
	}
	return name, found
}

var errUnknownToken = status.Error(codes.Unauthenticated, "unknown operator token")

// Propose proposes an operator's or a host's command and returns its result.
func (s *Service) Propose(ctx context.Context, r *schema.ProposeRequest) (*schema.Result, error) {
	operator, ok := OperatorName(s.Controller.Settings, r.Token)
	if !ok {
		return nil, errUnknownToken
	}
	if r.Command == nil {
		return nil, status.Error(codes.InvalidArgument, "command is missing")
	}
	command := proto.Clone(r.Command).(*schema.Command)
	command.Operator = operator
	result, err := s.Controller.Propose(ctx, command)
	switch {
	case errors.Is(err, ErrNotLeader):
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return result, nil
}

// State describes this control host and its state.
func (s *Service) State(_ context.Context, r *schema.StateRequest) (*schema.StateReply, error) {
	if _, ok := OperatorName(s.Controller.Settings, r.Token); !ok {
		return nil, errUnknownToken
	}
	return s.Controller.describe(), nil
}

func (c *Controller) describe() *schema.StateReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.haltAfterPanic(recover()) }()
	c.advanceClock()
	role, term, leader := c.replica.Status()
	reply := &schema.StateReply{
		Name: c.name, Id: c.replica.ID, Term: term, Commit: c.replica.CommitIndex(), Last: c.replica.LastIndex(),
		Leader:  role == replicator.Leader && c.replica.RemainingLeaseTicks() > 0 && c.caughtUp,
		Version: c.state.Snapshot().Version, Members: c.replica.Members().Members,
		Snapshot: c.state.Snapshot().Message(), History: c.state.History(), Hosts: c.acks.list(),
	}
	for _, m := range reply.Members {
		if m.Id == leader {
			reply.Leadername = m.Name
		}
	}
	return reply
}

// Watch sends a host the configuration and its changes.
func (s *Service) Watch(r *schema.WatchRequest, stream grpc.ServerStreamingServer[schema.WatchReply]) error {
	return s.Controller.Distributor.Serve(stream.Context(), r, stream.Send)
}

// Report stores the configuration versions in force at entry hosts.
func (s *Service) Report(_ context.Context, r *schema.Acknowledgements) (*schema.Empty, error) {
	s.Controller.acks.store(r.Hosts, s.Controller.Timer.Now())
	return &schema.Empty{}, nil
}

// Change adds, promotes or removes one control host.
func (s *Service) Change(_ context.Context, r *schema.MemberChange) (*schema.Result, error) {
	if _, ok := OperatorName(s.Controller.Settings, r.Token); !ok {
		return nil, errUnknownToken
	}
	var err error
	s.Controller.step(func(replica *replicator.Replica) {
		switch {
		case r.Add != nil:
			err = replica.AddLearner(r.Add)
		case r.Promote != 0:
			err = replica.PromoteLearner(r.Promote, 0)
		case r.Remove != 0:
			err = replica.RemoveMember(r.Remove)
		}
	})
	if errors.Is(err, replicator.ErrNotLeader) {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	if err != nil {
		return nil, status.Error(codes.Aborted, err.Error())
	}
	return &schema.Result{}, nil
}
