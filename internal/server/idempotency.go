package server

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/proposer"
	"github.com/trefoilloft/trefoilloft/internal/recorder"
	"github.com/trefoilloft/trefoilloft/internal/requester"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	claimTimeout = 700 * time.Millisecond
	// Longest wait for a majority of the holders to store an outcome before the caller is
	// answered.
	settleTimeout = 700 * time.Millisecond
	// Longest wait for the outcome of another request with the same idempotency key.
	duplicateTimeout       = 10 * time.Second
	duplicateRetryInterval = 200 * time.Millisecond
	recoveryInterval       = 300 * time.Millisecond
	pruneRecordsInterval   = 10 * time.Minute
)

func (s *Server) openRecords() error {
	s.holder = &recorder.Holder{
		Host: s.Settings.Name, Incarnation: uint64(time.Now().UnixNano()), UnixSeconds: func() int64 { return time.Now().Unix() },
	}
	if s.Settings.Data != "" {
		s.holder.Journal = &journaler.Journal{Folder: filepath.Join(s.Settings.Data, "entry", "records"), FaultPoints: s.FaultPoints}
	}
	return s.holder.Open()
}

// configureRecords applies the groups of holders in a configuration.
func (s *Server) configureRecords(c *configurer.Snapshot) {
	for _, path := range c.Paths("group") {
		if err := s.holder.Configure(c.Item(path).GetGroup()); err != nil {
			s.Log.Error().Err(err).Msg("could not configure a group of record holders")
		}
	}
}

func (s *Server) readyGroups() map[string]uint64 { return s.holder.ReadyGroups() }

// recoverRecords requests from the other holders the records that this one may lack after a
// restart.
func (s *Server) recoverRecords(ctx context.Context) {
	outside := func(region string) bool { return region != s.Settings.Region }
	for host, requests := range s.holder.RecoveryRequests(outside) {
		h := s.snapshot().Host(host)
		if h == nil {
			continue
		}
		for _, q := range requests {
			s.background("recovery", func() { s.recoverFrom(ctx, h, q) })
		}
	}
}

func (s *Server) recoverFrom(ctx context.Context, h *schema.Host, q *schema.SurveyRequest) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	c, err := s.Dialer.EntryClient(h.Internal)
	if err != nil {
		return
	}
	reply, err := c.Survey(ctx, q)
	if err != nil {
		return
	}
	if err := s.holder.ApplyRecoveryReply(h.Name, q, reply); err != nil {
		s.Log.Error().Err(err).Msg("could not store records recovered from another holder")
	}
}

// Claim accepts or refuses a claim to run a call. A holder outside of the group's region returns
// an earlier record without its answer.
func (x *EntryService) Claim(_ context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	reply, err := x.Server.holder.Claim(r)
	if err == nil && reply.Record != nil && x.Server.Settings.Region != r.Region {
		reply.Record = recorder.WithoutAnswer(reply.Record)
	}
	return reply, err
}

// Settle stores the outcome of a claim.
func (x *EntryService) Settle(_ context.Context, r *schema.SettleRequest) (*schema.Empty, error) {
	if err := x.Server.holder.Settle(r.Region, r.Record); err != nil {
		return nil, err
	}
	return &schema.Empty{}, nil
}

// Survey returns records to a holder that recovers them.
func (x *EntryService) Survey(_ context.Context, r *schema.SurveyRequest) (*schema.SurveyReply, error) {
	return x.Server.holder.ServeRecovery(r), nil
}

// claim is one host's request to the holders of a group for the sole right to run a call.
type claim struct {
	group   *schema.Group
	request *schema.ClaimRequest
}

// keyedHash returns a hash keyed with the shared secret, without which it reveals nothing of its
// parts.
func (s *Server) keyedHash(parts ...string) []byte {
	mac := hmac.New(sha256.New, []byte(s.Settings.Secret))
	for _, p := range parts {
		fmt.Fprintf(mac, "%d:%s", len(p), p)
	}
	return mac.Sum(nil)
}

func (s *Server) newClaim(call *serviceCall) *claim {
	group := s.snapshot().Group(s.Settings.Region)
	return &claim{group: group, request: &schema.ClaimRequest{
		Region: s.Settings.Region, Version: group.GetVersion(), Claim: proposer.NewRequestID(),
		Key:     s.keyedHash("key", call.customerName(), call.route.Name, call.header.Get(idempotencyHeader)),
		Body:    s.keyedHash("body", call.method, call.path, string(call.body)),
		Expires: time.Now().Add(recorder.Retention).Unix(),
	}}
}

// runAtMostOnce runs a call that may not be repeated. A granted call goes on if the caller leaves:
// its outcome is recorded for a repeated request.
func (s *Server) runAtMostOnce(ctx context.Context, call *serviceCall) (*serviceAnswer, error) {
	waitUntil := s.Timer.Now() + duplicateTimeout
	for {
		c := s.newClaim(call)
		decision, record := s.collectClaimReplies(c)
		switch decision {
		case recorder.Granted:
			return s.runGranted(context.WithoutCancel(ctx), call, c)
		case recorder.AlreadyClaimed:
			answer, wait, err := answerFromRecord(c, record)
			s.voidClaim(c)
			if !wait || s.Timer.Now() > waitUntil {
				return answer, err
			}
		default:
			s.voidClaim(c)
			return nil, errRecordsUnavailable
		}
		if err := s.Timer.Sleep(ctx, duplicateRetryInterval); err != nil {
			return nil, withRunUnknown(err)
		}
	}
}

var errRecordsUnavailable = &Refusal{
	Status: http.StatusServiceUnavailable, Type: "server_error", Code: "records_unavailable",
	Message: "the records of earlier calls cannot be read now", Run: RunUnknown, RetryAfter: time.Second,
}

// collectClaimReplies sends a claim to every holder and returns the decision as soon as the replies
// allow one, with the record of an earlier claim if there is any.
func (s *Server) collectClaimReplies(c *claim) (recorder.Decision, *schema.Record) {
	if c.group == nil {
		return recorder.NoQuorum, nil
	}
	if err := s.FaultPoints.Hit("booking.claim"); err != nil {
		return recorder.NoQuorum, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	replies := make(chan *schema.ClaimReply, len(c.group.Holders))
	for _, holder := range c.group.Holders {
		go func() {
			var reply *schema.ClaimReply
			confiner.Call(s.Log, "claim", func() { reply = s.claimAt(ctx, holder, c.request) })
			replies <- reply
		}()
	}
	quorum := &recorder.ClaimQuorum{HolderCount: len(c.group.Holders), GroupVersion: c.group.Version, Claim: c.request.Claim}
	defer func() { s.Timer.Once(claimTimeout, cancel) }() // the claim still reaches the slowest holder
	for range c.group.Holders {
		quorum.Add(<-replies)
		if v := quorum.Decide(); v != recorder.Undecided {
			return v, quorum.ExistingRecord()
		}
	}
	return recorder.NoQuorum, quorum.ExistingRecord()
}

func (s *Server) claimAt(ctx context.Context, holder string, r *schema.ClaimRequest) *schema.ClaimReply {
	if holder == s.Settings.Name {
		reply, err := s.holder.Claim(r)
		if err != nil {
			return nil
		}
		return reply
	}
	h := s.snapshot().Host(holder)
	if h == nil {
		return nil
	}
	c, err := s.Dialer.EntryClient(h.Internal)
	if err != nil {
		return nil
	}
	reply, err := c.Claim(ctx, r)
	if err != nil {
		return nil
	}
	return reply
}

// answerFromRecord answers from the record of an earlier claim. It reports whether that claim's
// outcome may still arrive.
func answerFromRecord(c *claim, r *schema.Record) (*serviceAnswer, bool, error) {
	if string(r.Body) != string(c.request.Body) {
		return nil, false, newRefusal(http.StatusUnprocessableEntity, "idempotency_key_reused", "the key was used for another request")
	}
	refusal := &Refusal{Status: http.StatusConflict, Type: "server_error", Run: RunUnknown}
	switch r.State {
	case schema.RecordState_RECORD_DONE:
		if r.Status > 0 {
			return &serviceAnswer{status: int(r.Status), contentType: r.Type, body: r.Answer, replayed: true}, false, nil
		}
		refusal.Code, refusal.Message = "answer_lost", "an earlier try ran; its answer is no longer kept"
		return nil, false, refusal
	case schema.RecordState_RECORD_UNKNOWN:
		refusal.Code, refusal.Message = "outcome_unknown", "an earlier try may have run"
		return nil, false, refusal
	}
	refusal.Code, refusal.Message = "in_progress", "an earlier try has not ended, or its host was lost"
	return nil, true, refusal
}

// runGranted sends the call to one upstream, once. It goes on to another upstream only if nothing
// of the call reached the last one.
func (s *Server) runGranted(ctx context.Context, call *serviceCall, c *claim) (*serviceAnswer, error) {
	if err := s.FaultPoints.Hit("booking.granted"); err != nil {
		return nil, withRunUnknown(err)
	}
	excluded := map[string]bool{}
	for {
		reservation, err := s.router.Pick(router.Request{Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Pool: call.route.Name, Excluded: excluded})
		if err != nil {
			s.settleRecord(c, &schema.Record{State: schema.RecordState_RECORD_VOID})
			return nil, err // this claim was granted, so no other has run either
		}
		answer, err := s.sendServiceCall(ctx, call, reservation)
		reservation.Release(attemptOutcome(ctx, err, false))
		if errors.Is(err, requester.ErrNotSent) {
			s.metrics.attemptsFailed.Inc()
			excluded[reservation.Name] = true
			continue
		}
		if faultErr := s.FaultPoints.Hit("booking.answered"); faultErr != nil {
			return nil, withRunUnknown(faultErr)
		}
		if err != nil {
			s.settleRecord(c, &schema.Record{State: schema.RecordState_RECORD_UNKNOWN})
			return nil, withRunUnknown(err)
		}
		s.settleRecord(c, doneRecord(answer))
		if err := s.FaultPoints.Hit("booking.settled"); err != nil {
			return nil, withRunUnknown(err)
		}
		return answer, nil
	}
}

func doneRecord(a *serviceAnswer) *schema.Record {
	r := &schema.Record{State: schema.RecordState_RECORD_DONE}
	if len(a.body) <= recorder.MaxAnswerBytes {
		r.Status, r.Type, r.Answer = int32(a.status), a.contentType, a.body
	}
	return r
}

// voidClaim tells the holders that a claim that was not granted will never run its call.
func (s *Server) voidClaim(c *claim) {
	if c.group != nil {
		s.background("settlement", func() { s.settleRecord(c, &schema.Record{State: schema.RecordState_RECORD_VOID}) })
	}
}

// settleRecord sends the outcome of a claim to every holder, and waits up to settleTimeout until
// a majority has stored it.
func (s *Server) settleRecord(c *claim, r *schema.Record) {
	r.Key, r.Body, r.Claim, r.Expires = c.request.Key, c.request.Body, c.request.Claim, c.request.Expires
	settled := make(chan struct{}, len(c.group.Holders))
	for _, holder := range c.group.Holders {
		s.background("settlement", func() {
			if s.settleAt(holder, c.request.Region, r) == nil {
				settled <- struct{}{}
			}
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for range recorder.Quorum(len(c.group.Holders)) {
		select {
		case <-settled:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) settleAt(holder, region string, r *schema.Record) error {
	if holder == s.Settings.Name {
		return s.holder.Settle(region, r)
	}
	h := s.snapshot().Host(holder)
	if h == nil {
		return errors.New("server: the configuration has no such holder")
	}
	if h.Region != region {
		r = recorder.WithoutAnswer(r)
	}
	c, err := s.Dialer.EntryClient(h.Internal)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = c.Settle(ctx, &schema.SettleRequest{Region: region, Record: r})
	return err
}
