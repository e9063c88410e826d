package server

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/controller"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const withdrawnSyncInterval = 500 * time.Millisecond

// runningRequests holds the requests in flight by API key. Withdrawing a key cancels them: whoever
// uses it no longer counts as the customer, who would be charged for the remaining tokens.
type runningRequests struct {
	mu      sync.Mutex
	cancels map[string]map[*context.CancelCauseFunc]bool // by hash of the key; guarded by mu
}

func (r *runningRequests) add(ctx context.Context, hash string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = map[string]map[*context.CancelCauseFunc]bool{}
	}
	if r.cancels[hash] == nil {
		r.cancels[hash] = map[*context.CancelCauseFunc]bool{}
	}
	r.cancels[hash][&cancel] = true
	return ctx, func() {
		cancel(nil)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels[hash], &cancel)
		if len(r.cancels[hash]) == 0 {
			delete(r.cancels, hash)
		}
	}
}

func (r *runningRequests) cancelKey(hash string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for cancel := range r.cancels[hash] {
		(*cancel)(errKeyWithdrawn)
	}
}

// cancelWithdrawn cancels the requests of keys that a configuration no longer accepts.
func (r *runningRequests) cancelWithdrawn(c *configurer.Snapshot) {
	r.mu.Lock()
	var withdrawn []string
	for hash := range r.cancels {
		if key := c.Key(hash); key == nil || key.Withdrawn {
			withdrawn = append(withdrawn, hash)
		}
	}
	r.mu.Unlock()
	for _, hash := range withdrawn {
		r.cancelKey(hash)
	}
}

func (s *Server) cancelRequests(hash string) { s.running.cancelKey(hash) }

var errKeyWithdrawn = &Refusal{
	Status: 401, Type: "authentication_error", Code: "key_withdrawn", Message: "the key was withdrawn", Run: RunUnknown,
}

// Withdraw accepts withdrawals of API keys from an operator or another host. They are in force at
// this host when it returns, and reach the others without a quorum of the control hosts.
func (x *EntryService) Withdraw(_ context.Context, r *schema.WithdrawRequest) (*schema.WithdrawReply, error) {
	s := x.Server
	operator, ok := controller.OperatorName(s.Settings, r.Token)
	if !ok {
		return nil, status.Error(codes.Unauthenticated, "unknown operator token")
	}
	added, err := s.withdrawer.Add(r.Hashes...)
	if len(added) > 0 {
		s.metrics.withdrawn.Add(float64(len(added)))
		s.background("withdrawal", func() { s.propagateWithdrawn(added, operator) })
	}
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	reply := &schema.WithdrawReply{Digest: s.withdrawer.Digest()}
	if r.Whole && !bytes.Equal(r.Digest, reply.Digest) {
		reply.Hashes = s.withdrawer.List()
	}
	return reply, nil
}

// propagateWithdrawn sends withdrawals to the hosts of the region, to one host of each other region
// and to the control hosts, which store them permanently.
func (s *Server) propagateWithdrawn(hashes []string, operator string) {
	sentRegions := map[string]bool{}
	for _, h := range s.snapshot().Hosts() {
		if h.Name == s.Settings.Name || (h.Region != s.Settings.Region && sentRegions[h.Region]) {
			continue
		}
		sentRegions[h.Region] = true
		s.background("withdrawal", func() { _ = s.syncWithdrawnWith(context.Background(), h, hashes, false) })
	}
	if operator == "host" {
		return // the host that the operator called informs the control hosts
	}
	s.recordWithdrawn(hashes)
}

// recordWithdrawn proposes withdrawals to the control hosts, to be stored in the configuration.
func (s *Server) recordWithdrawn(hashes []string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	command := &schema.Command{Op: &schema.Command_Withdraw{Withdraw: &schema.WithdrawKeys{Hashes: hashes}}}
	if _, err := s.proposer.Propose(ctx, command); err != nil {
		s.Log.Warn().Err(err).Int("keys", len(hashes)).Msg("control hosts have not stored withdrawals yet")
	}
}

// syncWithdrawn compares the set of withdrawn keys with one other host, so that a withdrawal
// arrives even if its message was lost, and proposes the set to the control hosts.
func (s *Server) syncWithdrawn(ctx context.Context) {
	var others []*schema.Host
	for _, h := range s.snapshot().Hosts() {
		if h.Name != s.Settings.Name {
			others = append(others, h)
		}
	}
	if len(others) > 0 {
		_ = s.syncWithdrawnWith(ctx, others[rand.IntN(len(others))], nil, true)
	}
	if unrecorded := s.withdrawer.List(); len(unrecorded) > 0 && s.recordWithdrawnMu.TryLock() {
		s.background("withdrawal", func() {
			defer s.recordWithdrawnMu.Unlock()
			s.recordWithdrawn(unrecorded)
		})
	}
}

func (s *Server) syncWithdrawnWith(ctx context.Context, h *schema.Host, hashes []string, wantsSet bool) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	c, err := s.Dialer.EntryClient(h.Internal)
	if err != nil {
		return err
	}
	reply, err := c.Withdraw(ctx, &schema.WithdrawRequest{
		Hashes: hashes, Digest: s.withdrawer.Digest(), Whole: wantsSet, Token: s.Settings.Secret,
	})
	if err != nil {
		return err
	}
	_, err = s.withdrawer.Add(s.unrecorded(reply.Hashes)...)
	return err
}

// unrecorded returns the hashes that the configuration in force here does not hold as withdrawn. It
// drops those with a slash or a space.
func (s *Server) unrecorded(hashes []string) []string {
	var out []string
	for _, h := range hashes {
		if !s.snapshot().Key(h).GetWithdrawn() && !strings.ContainsAny(h, "/ ") {
			out = append(out, h)
		}
	}
	return out
}
