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

const withdrawInterval = 500 * time.Millisecond

// runningKeys are the requests under way by key. A withdrawn key ends them: whoever holds
// it is no longer the customer, and tokens still to come would be charged to the customer.
type runningKeys struct {
	mu   sync.Mutex
	keys map[string]map[*context.CancelCauseFunc]bool // by hash; guarded by mu
}

func (k *runningKeys) add(ctx context.Context, hash string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.keys == nil {
		k.keys = map[string]map[*context.CancelCauseFunc]bool{}
	}
	if k.keys[hash] == nil {
		k.keys[hash] = map[*context.CancelCauseFunc]bool{}
	}
	k.keys[hash][&cancel] = true
	return ctx, func() {
		cancel(nil)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.keys[hash], &cancel)
		if len(k.keys[hash]) == 0 {
			delete(k.keys, hash)
		}
	}
}

func (k *runningKeys) stop(hash string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for cancel := range k.keys[hash] {
		(*cancel)(errWithdrawn)
	}
}

// stopWithdrawn ends the requests of keys that a configuration no longer accepts.
func (k *runningKeys) stopWithdrawn(c *configurer.Snapshot) {
	k.mu.Lock()
	var gone []string
	for hash := range k.keys {
		if key := c.Key(hash); key == nil || key.Withdrawn {
			gone = append(gone, hash)
		}
	}
	k.mu.Unlock()
	for _, hash := range gone {
		k.stop(hash)
	}
}

func (s *Server) stopKey(hash string) { s.running.stop(hash) }

var errWithdrawn = &Refusal{
	Status: 401, Type: "authentication_error", Code: "key_withdrawn", Message: "the key was withdrawn", Run: RunUnknown,
}

// Withdraw accepts withdrawals from an operator or another host. They are in force here
// when it returns, and spread without a quorum.
func (x *Service) Withdraw(_ context.Context, r *schema.WithdrawRequest) (*schema.WithdrawReply, error) {
	s := x.Server
	operator, ok := controller.Operator(s.Settings, r.Token)
	if !ok {
		return nil, status.Error(codes.Unauthenticated, "unknown operator token")
	}
	fresh, err := s.withdrawer.Add(r.Hashes...)
	if len(fresh) > 0 {
		s.metrics.withdrawn.Add(float64(len(fresh)))
		go s.spreadWithdrawn(fresh, operator)
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

// spreadWithdrawn tells the hosts of the region, one host of each other region, and the
// control hosts, which keep it for good.
func (s *Server) spreadWithdrawn(hashes []string, operator string) {
	seen := map[string]bool{}
	for _, h := range s.snapshot().Hosts() {
		if h.Name == s.Settings.Name || (h.Region != s.Settings.Region && seen[h.Region]) {
			continue
		}
		seen[h.Region] = true
		go func() { _ = s.exchangeWith(context.Background(), h, hashes, false) }()
	}
	if operator == "host" {
		return // the host that an operator told does the rest
	}
	s.recordWithdrawn(hashes)
}

// recordWithdrawn has the configuration take withdrawals over.
func (s *Server) recordWithdrawn(hashes []string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	command := &schema.Command{Op: &schema.Command_Withdraw{Withdraw: &schema.WithdrawKeys{Hashes: hashes}}}
	if _, err := s.proposer.Propose(ctx, command); err != nil {
		s.Log.Warn().Err(err).Int("keys", len(hashes)).Msg("withdrawal not recorded yet")
	}
}

// exchangeWithdrawn compares sets with one other host, so that a withdrawal that a lost
// message did not bring arrives all the same; and offers the set to the control hosts.
func (s *Server) exchangeWithdrawn(ctx context.Context) {
	var others []*schema.Host
	for _, h := range s.snapshot().Hosts() {
		if h.Name != s.Settings.Name {
			others = append(others, h)
		}
	}
	if len(others) > 0 {
		_ = s.exchangeWith(ctx, others[rand.IntN(len(others))], nil, true)
	}
	if left := s.withdrawer.List(); len(left) > 0 && s.mayRecord.TryLock() {
		go func() {
			defer s.mayRecord.Unlock()
			s.recordWithdrawn(left)
		}()
	}
}

func (s *Server) exchangeWith(ctx context.Context, h *schema.Host, hashes []string, whole bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := s.Dialer.Entry(h.Internal)
	if err != nil {
		return err
	}
	reply, err := c.Withdraw(ctx, &schema.WithdrawRequest{
		Hashes: hashes, Digest: s.withdrawer.Digest(), Whole: whole, Token: s.Settings.Secret,
	})
	if err != nil {
		return err
	}
	_, err = s.withdrawer.Add(s.unrecorded(reply.Hashes)...)
	return err
}

// unrecorded leaves out what the configuration here says already.
func (s *Server) unrecorded(hashes []string) []string {
	var out []string
	for _, h := range hashes {
		if !s.snapshot().Key(h).GetWithdrawn() && !strings.ContainsAny(h, "/ ") {
			out = append(out, h)
		}
	}
	return out
}
