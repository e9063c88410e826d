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

	"github.com/trefoilloft/trefoilloft/internal/caller"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/proposer"
	"github.com/trefoilloft/trefoilloft/internal/recorder"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	claimTimeout = 700 * time.Millisecond
	// Longest wait for the outcome to be known to a majority before the caller is answered.
	settleWait = 700 * time.Millisecond
	// Longest wait for another request's outcome under the same key.
	twinWait       = 10 * time.Second
	twinPause      = 200 * time.Millisecond
	surveyInterval = 300 * time.Millisecond
	pruneRecords   = 10 * time.Minute
)

func (s *Server) openRecords() error {
	s.holder = &recorder.Holder{
		Host: s.Settings.Name, Incarnation: uint64(time.Now().UnixNano()), Unix: func() int64 { return time.Now().Unix() },
	}
	if s.Settings.Data != "" {
		s.holder.Journal = &journaler.Journal{Folder: filepath.Join(s.Settings.Data, "entry", "records"), Points: s.Points}
	}
	return s.holder.Open()
}

// configureRecords puts the groups of a configuration in force.
func (s *Server) configureRecords(c *configurer.Snapshot) {
	for _, path := range c.Paths("group") {
		if err := s.holder.Configure(c.Item(path).GetGroup()); err != nil {
			s.Log.Error().Err(err).Msg("records are not durable")
		}
	}
}

func (s *Server) readyGroups() map[string]uint64 { return s.holder.Ready() }

// surveyOthers asks other holders for what this one does not know after a restart.
func (s *Server) surveyOthers(ctx context.Context) {
	outside := func(region string) bool { return region != s.Settings.Region }
	for host, requests := range s.holder.Surveys(outside) {
		h := s.snapshot().Host(host)
		if h == nil {
			continue
		}
		for _, q := range requests {
			go s.surveyOne(ctx, h, q)
		}
	}
}

func (s *Server) surveyOne(ctx context.Context, h *schema.Host, q *schema.SurveyRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := s.Dialer.Entry(h.Internal)
	if err != nil {
		return
	}
	reply, err := c.Survey(ctx, q)
	if err != nil {
		return
	}
	if err := s.holder.Surveyed(h.Name, q, reply); err != nil {
		s.Log.Error().Err(err).Msg("survey")
	}
}

// Claim accepts or refuses an intent.
func (x *Service) Claim(_ context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	reply, err := x.Server.holder.Claim(r)
	if err == nil && reply.Record != nil && x.Server.Settings.Region != r.Region {
		reply.Record = recorder.Witnessed(reply.Record)
	}
	return reply, err
}

// Settle stores how a claim ended.
func (x *Service) Settle(_ context.Context, r *schema.SettleRequest) (*schema.Empty, error) {
	if err := x.Server.holder.Settle(r.Region, r.Record); err != nil {
		return nil, err
	}
	return &schema.Empty{}, nil
}

// Survey gives another holder what this one knows.
func (x *Service) Survey(_ context.Context, r *schema.SurveyRequest) (*schema.SurveyReply, error) {
	return x.Server.holder.Survey(r), nil
}

// claim is one attempt to run a call at most once.
type claim struct {
	group   *schema.Group
	request *schema.ClaimRequest
}

// hash returns a keyed hash that says nothing of its parts to who lacks the secret.
func (s *Server) hash(parts ...string) []byte {
	mac := hmac.New(sha256.New, []byte(s.Settings.Secret))
	for _, p := range parts {
		fmt.Fprintf(mac, "%d:%s", len(p), p)
	}
	return mac.Sum(nil)
}

func (s *Server) newClaim(p *plainCall) *claim {
	group := s.snapshot().Group(s.Settings.Region)
	return &claim{group: group, request: &schema.ClaimRequest{
		Region: s.Settings.Region, Version: group.GetVersion(), Claim: proposer.NewRequest(),
		Key:     s.hash("key", p.customerName(), p.route.Name, p.header.Get(idempotencyHeader)),
		Body:    s.hash("body", p.method, p.path, string(p.body)),
		Expires: time.Now().Add(recorder.Retention).Unix(),
	}}
}

// runOnce runs a call that may not be repeated. The work goes on if the caller goes away:
// its outcome is kept for a resend.
func (s *Server) runOnce(ctx context.Context, p *plainCall) (*plainAnswer, error) {
	end := s.Timer.Now() + twinWait
	for {
		c := s.newClaim(p)
		verdict, record := s.tally(c)
		switch verdict {
		case recorder.Granted:
			return s.runGranted(context.WithoutCancel(ctx), p, c)
		case recorder.Taken:
			answer, wait, err := replay(c, record)
			s.giveUp(c)
			if !wait || s.Timer.Now() > end {
				return answer, err
			}
		default:
			s.giveUp(c)
			return nil, errRecords
		}
		if err := s.Timer.Sleep(ctx, twinPause); err != nil {
			return nil, unknown(err)
		}
	}
}

var errRecords = &Refusal{
	Status: http.StatusServiceUnavailable, Type: "server_error", Code: "records_unavailable",
	Message: "the records of earlier calls cannot be read now", Run: RunUnknown, Retry: time.Second,
}

// tally asks every holder to accept the intent.
func (s *Server) tally(c *claim) (recorder.Verdict, *schema.Record) {
	if c.group == nil {
		return recorder.Closed, nil
	}
	if err := s.Points.Hit("booking.claim"); err != nil {
		return recorder.Closed, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	replies := make(chan *schema.ClaimReply, len(c.group.Holders))
	for _, holder := range c.group.Holders {
		go func() { replies <- s.claimAt(ctx, holder, c.request) }()
	}
	t := &recorder.Tally{Holders: len(c.group.Holders), Version: c.group.Version, Claim: c.request.Claim}
	defer func() { s.Timer.Once(claimTimeout, cancel) }() // the slowest holder still gets to know
	for range c.group.Holders {
		t.Add(<-replies)
		if v := t.Verdict(); v != recorder.Open {
			return v, t.Record()
		}
	}
	return recorder.Closed, t.Record()
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
	c, err := s.Dialer.Entry(h.Internal)
	if err != nil {
		return nil
	}
	reply, err := c.Claim(ctx, r)
	if err != nil {
		return nil
	}
	return reply
}

// replay answers from the record of an earlier claim. It reports whether that claim's
// outcome may still come.
func replay(c *claim, r *schema.Record) (*plainAnswer, bool, error) {
	if string(r.Body) != string(c.request.Body) {
		return nil, false, refuse(http.StatusUnprocessableEntity, "idempotency_key_reused", "the key was used for another request")
	}
	again := &Refusal{Status: http.StatusConflict, Type: "server_error", Run: RunUnknown}
	switch r.State {
	case schema.RecordState_RECORD_DONE:
		if r.Status > 0 {
			return &plainAnswer{status: int(r.Status), kind: r.Type, body: r.Answer, replayed: true}, false, nil
		}
		again.Code, again.Message = "answer_lost", "an earlier try ran; its answer is no longer kept"
		return nil, false, again
	case schema.RecordState_RECORD_UNKNOWN:
		again.Code, again.Message = "outcome_unknown", "an earlier try may have run"
		return nil, false, again
	}
	again.Code, again.Message = "in_progress", "an earlier try has not ended, or its host was lost"
	return nil, true, again
}

// runGranted sends the call to one upstream, once. Only an upstream that nothing reached
// is followed by another.
func (s *Server) runGranted(ctx context.Context, p *plainCall, c *claim) (*plainAnswer, error) {
	if err := s.Points.Hit("booking.granted"); err != nil {
		return nil, unknown(err)
	}
	excluded := map[string]bool{}
	for {
		choice, err := s.router.Pick(router.Request{Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Pool: p.route.Name, Excluded: excluded})
		if err != nil {
			s.settleRecord(c, &schema.Record{State: schema.RecordState_RECORD_VOID})
			return nil, err // this claim was granted, so no other ran either
		}
		answer, err := s.callPlain(ctx, p, choice, true)
		choice.Done(outcome(ctx, err, false))
		if errors.Is(err, caller.ErrNotSent) {
			s.metrics.attemptsFailed.Inc()
			excluded[choice.Name] = true
			continue
		}
		if hit := s.Points.Hit("booking.answered"); hit != nil {
			return nil, unknown(hit)
		}
		if err != nil {
			s.settleRecord(c, &schema.Record{State: schema.RecordState_RECORD_UNKNOWN})
			return nil, unknown(err)
		}
		s.settleRecord(c, doneRecord(answer))
		if err := s.Points.Hit("booking.settled"); err != nil {
			return nil, unknown(err)
		}
		return answer, nil
	}
}

func doneRecord(a *plainAnswer) *schema.Record {
	r := &schema.Record{State: schema.RecordState_RECORD_DONE}
	if len(a.body) <= recorder.AnswerLimit {
		r.Status, r.Type, r.Answer = int32(a.status), a.kind, a.body
	}
	return r
}

// giveUp tells the holders that a claim that was not granted will never run.
func (s *Server) giveUp(c *claim) {
	if c.group != nil {
		go s.settleRecord(c, &schema.Record{State: schema.RecordState_RECORD_VOID})
	}
}

// settleRecord tells every holder how a claim ended, and waits a little for a majority.
func (s *Server) settleRecord(c *claim, r *schema.Record) {
	r.Key, r.Body, r.Claim, r.Expires = c.request.Key, c.request.Body, c.request.Claim, c.request.Expires
	done := make(chan struct{}, len(c.group.Holders))
	for _, holder := range c.group.Holders {
		go func() {
			if s.settleAt(holder, c.request.Region, r) == nil {
				done <- struct{}{}
			}
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleWait)
	defer cancel()
	for range recorder.Quorum(len(c.group.Holders)) {
		select {
		case <-done:
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
		return errors.New("server: host is unknown")
	}
	if h.Region != region {
		r = recorder.Witnessed(r)
	}
	c, err := s.Dialer.Entry(h.Internal)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = c.Settle(ctx, &schema.SettleRequest{Region: region, Record: r})
	return err
}
