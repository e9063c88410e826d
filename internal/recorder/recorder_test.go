package recorder

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

var seeds = flag.Int("seeds", 1600, "number of random schedules")

const testRegion = "clyde"

// cluster is four holders and any number of claimants on a network that delays, reorders and
// drops messages.
type cluster struct {
	t            *testing.T
	random       *rand.Rand
	now          int64 // wall clock, seconds since 1970
	incarnations uint64
	holders      map[string]*Holder
	group        *schema.Group
	inTransit    []func()
	claims       int
	// runsByKey counts, by key, the granted claims of which the call may have run.
	runsByKey map[string]int
	granted   int
	folder    string
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: 1000, holders: map[string]*Holder{},
		runsByKey: map[string]int{}, folder: t.TempDir(),
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.restart(name)
	}
	c.setGroup("a")
	c.recoverAll()
	c.setGroup("a", "b")
	c.recoverAll()
	c.setGroup("a", "b", "c")
	c.recoverAll()
	return c
}

// restart starts a new process of a holder. Holder d has a journal; the others lose their
// records.
func (c *cluster) restart(name string) {
	c.incarnations++
	h := &Holder{Host: name, Incarnation: c.incarnations, UnixSeconds: func() int64 { return c.now }}
	if name == "d" {
		h.Journal = &journaler.Journal{Folder: filepath.Join(c.folder, name)}
	}
	if err := h.Open(); err != nil {
		c.t.Fatal(err)
	}
	c.holders[name] = h
	if c.group != nil {
		c.configure(name)
	}
}

func (c *cluster) configure(name string) {
	if err := c.holders[name].Configure(proto.Clone(c.group).(*schema.Group)); err != nil {
		c.t.Fatal(err)
	}
}

// setGroup changes the holders of the group. Each host applies the change at a random time, or
// misses it.
func (c *cluster) setGroup(holders ...string) {
	version := uint64(1)
	if c.group != nil {
		version = c.group.Version + 1
	}
	c.group = &schema.Group{Region: testRegion, Version: version, Holders: holders}
	for name := range c.holders {
		c.send(func() { c.configure(name) })
	}
}

func (c *cluster) send(f func()) { c.inTransit = append(c.inTransit, f) }

// deliverOne delivers one message in transit, chosen at random; one of twelve is lost.
func (c *cluster) deliverOne() {
	if len(c.inTransit) == 0 {
		return
	}
	i := c.random.IntN(len(c.inTransit))
	f := c.inTransit[i]
	c.inTransit = slices.Delete(c.inTransit, i, i+1)
	if c.random.IntN(12) > 0 {
		f()
	}
}

func (c *cluster) recoverAll() {
	for range 400 {
		for _, name := range c.names() {
			c.sendRecoveryRequests(name)
		}
		for len(c.inTransit) > 0 {
			c.deliverOne()
		}
		for _, name := range c.names() {
			c.configure(name)
		}
		if c.remainingHoldersReady(c.group.Holders) {
			return
		}
	}
	c.t.Fatal("the holders of the group are not ready after 400 rounds of recovery without restarts")
}

func (c *cluster) names() []string { return []string{"a", "b", "c", "d"} }

// sendRecoveryRequests sends a holder's recovery requests to the other holders, if it is not
// ready.
func (c *cluster) sendRecoveryRequests(name string) {
	h := c.holders[name]
	requests := h.RecoveryRequests(func(string) bool { return false })
	for _, other := range c.names() {
		for _, q := range requests[other] {
			c.send(func() {
				reply := c.holders[other].ServeRecovery(q)
				c.send(func() {
					if c.holders[name] == h {
						_ = h.ApplyRecoveryReply(other, q, reply)
					}
				})
			})
		}
	}
}

// startClaim sends the claim of a new claimant for a key to all holders of the group.
func (c *cluster) startClaim(key string) {
	c.claims++
	id := fmt.Sprintf("claim-%d", c.claims)
	group := c.group
	t := &ClaimQuorum{HolderCount: len(group.Holders), GroupVersion: group.Version, Claim: id}
	decided := false
	addReply := func(r *schema.ClaimReply) {
		t.Add(r)
		decision := t.Decide()
		if decided || decision == Undecided {
			return
		}
		decided = true
		c.endClaim(decision, key, id, group)
	}
	for _, holder := range group.Holders {
		q := &schema.ClaimRequest{Region: testRegion, Version: group.Version, Key: []byte(key), Claim: id, Expires: c.now + 1000}
		c.send(func() {
			reply, err := c.holders[holder].Claim(q)
			if err != nil {
				c.t.Fatal(err)
			}
			c.send(func() { addReply(reply) })
		})
	}
}

// endClaim runs the call if the claim was granted, and otherwise gives the claim up. A claimant
// may crash before it settles its claim, or the call may not reach the upstream.
func (c *cluster) endClaim(v Decision, key, id string, group *schema.Group) {
	state := schema.RecordState_RECORD_VOID
	if v == Granted {
		c.granted++
		c.runsByKey[key]++
		if c.runsByKey[key] > 1 {
			c.t.Fatalf("the call of key %s ran %d times", key, c.runsByKey[key])
		}
		state = schema.RecordState_RECORD_DONE
		switch c.random.IntN(4) {
		case 0:
			return // the claimant crashed
		case 1:
			c.runsByKey[key]-- // nothing reached the upstream
			state = schema.RecordState_RECORD_VOID
		}
	}
	r := &schema.Record{Key: []byte(key), Claim: id, State: state, Expires: c.now + 1000}
	for _, holder := range group.Holders {
		c.send(func() {
			if err := c.holders[holder].Settle(testRegion, r); err != nil {
				c.t.Fatal(err)
			}
		})
	}
}

// remainingHoldersReady reports whether all of the present holders that remain in next are
// ready.
func (c *cluster) remainingHoldersReady(next []string) bool {
	for _, name := range c.group.Holders {
		if slices.Contains(next, name) && c.holders[name].ReadyGroups()[testRegion] != c.group.Version {
			return false
		}
	}
	return true
}

// replaceHolder replaces one holder by the host that is not a holder, as the control hosts
// would: only if the remaining holders are ready.
func (c *cluster) replaceHolder() {
	next := slices.Clone(c.group.Holders)
	unused := slices.IndexFunc(c.names(), func(n string) bool { return !slices.Contains(next, n) })
	next[c.random.IntN(len(next))] = c.names()[unused]
	if c.remainingHoldersReady(next) {
		c.setGroup(next...)
	}
}

// TestAtMostOneRun guards against a call that runs twice. In random schedules holders restart
// without their records or are replaced, claimants crash and messages are lost or reordered; no
// key's call may run twice.
func TestAtMostOneRun(t *testing.T) {
	total := 0
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, seed)
			for n := range 1500 {
				switch k := c.random.IntN(1000); {
				case k < 760:
					c.deliverOne()
				case k < 830:
					c.startClaim(fmt.Sprintf("key-%d", n/150+c.random.IntN(2)))
				case k < 930:
					c.sendRecoveryRequests(c.names()[c.random.IntN(4)])
				case k < 934:
					c.restart(c.names()[c.random.IntN(4)])
				case k < 944:
					c.replaceHolder()
				default:
					c.configure(c.names()[c.random.IntN(4)])
				}
			}
			total += c.granted
		})
	}
	if total == 0 {
		t.Error("no claim was granted in any schedule")
	}
	t.Logf("%d claims granted", total)
}

// TestLostRecordsKeepHoldersUnready guards against a second run after records are lost: when too
// many holders restart without their records at once, they stay unready, and so accept no
// claim, until every record that may be lost has expired.
func TestLostRecordsKeepHoldersUnready(t *testing.T) {
	c := newCluster(t, 1)
	c.restart("a")
	c.restart("b")
	for range 50 {
		c.sendRecoveryRequests("a")
		c.sendRecoveryRequests("b")
		for len(c.inTransit) > 0 {
			c.deliverOne()
		}
	}
	if len(c.holders["a"].ReadyGroups()) != 0 || len(c.holders["b"].ReadyGroups()) != 0 {
		t.Fatal("two of three holders that lost their records at once became ready")
	}
	c.now += int64(Retention.Seconds()) + 1
	if len(c.holders["a"].ReadyGroups()) != 1 {
		t.Error("the holder is not ready after every record has expired")
	}
}

// TestIntentSurvivesRestartsInTurn guards against an intent lost by restarts one after another: two
// of three holders accept it, then each restarts without its records and recovers in turn.
// Both must know the intent afterwards.
func TestIntentSurvivesRestartsInTurn(t *testing.T) {
	c := newCluster(t, 2)
	q := &schema.ClaimRequest{Region: testRegion, Version: c.group.Version, Key: []byte("pew"), Claim: "first", Expires: c.now + 1000}
	for _, name := range []string{"a", "b"} { // c never receives the claim
		if r, err := c.holders[name].Claim(q); err != nil || !r.Accepted {
			t.Fatalf("claim at holder %s: accepted %v, error %v", name, r.GetAccepted(), err)
		}
	}
	for _, name := range []string{"a", "b"} {
		c.restart(name)
		c.recoverAll()
	}
	for _, name := range c.group.Holders {
		if r := c.holders[name].Lookup(testRegion, []byte("pew")); name != "c" && r == nil {
			t.Errorf("holder %s lost the intent", name)
		}
	}
}

// TestGivenUpClaimKeepsOtherIntent guards against a second run of a granted call. A holder that
// recovers receives the intents of two claims for one key; when one of the claims is given up
// it must still reject a third, since the other may have been granted.
func TestGivenUpClaimKeepsOtherIntent(t *testing.T) {
	c := newCluster(t, 3)
	acceptIntent := func(holder, id string) {
		q := &schema.ClaimRequest{Region: testRegion, Version: c.group.Version, Key: []byte("pew"), Claim: id, Expires: c.now + 1000}
		if r, err := c.holders[holder].Claim(q); err != nil || !r.Accepted {
			t.Fatalf("claim at holder %s: reply %v, error %v", holder, r, err)
		}
	}
	acceptIntent("a", "granted")
	acceptIntent("b", "granted")
	acceptIntent("c", "other")
	c.restart("a")
	c.recoverAll()
	givenUp := &schema.Record{Key: []byte("pew"), Claim: "other", State: schema.RecordState_RECORD_VOID, Expires: c.now + 1000}
	if err := c.holders["a"].Settle(testRegion, givenUp); err != nil {
		t.Fatal(err)
	}
	q := &schema.ClaimRequest{Region: testRegion, Version: c.group.Version, Key: []byte("pew"), Claim: "third", Expires: c.now + 1000}
	if r, err := c.holders["a"].Claim(q); err != nil || r.Accepted {
		t.Errorf("a third claim after one of two was given up: reply %v, error %v; want it rejected", r, err)
	}
}

// claimRequest returns a claim of key pew for the present version of the group.
func (c *cluster) claimRequest(id string) *schema.ClaimRequest {
	return &schema.ClaimRequest{Region: testRegion, Version: c.group.Version, Key: []byte("pew"), Claim: id, Expires: c.now + 1000}
}

func (c *cluster) claimAt(holder string, q *schema.ClaimRequest) *schema.ClaimReply {
	c.t.Helper()
	r, err := c.holders[holder].Claim(q)
	if err != nil {
		c.t.Fatal(err)
	}
	return r
}

// TestSupersededAcceptanceDoesNotCount guards against a majority with an acceptance that its
// holder no longer has: one holder accepts an intent, restarts without its records and
// recovers before a second one accepts. The two must not grant the claim.
func TestSupersededAcceptanceDoesNotCount(t *testing.T) {
	c := newCluster(t, 4)
	q := c.claimRequest("first")
	forgotten := c.claimAt("c", q)
	c.restart("c")
	c.recoverAll()
	late := c.claimAt("a", q)
	quorum := &ClaimQuorum{HolderCount: 3, GroupVersion: c.group.Version, Claim: q.Claim}
	quorum.Add(forgotten)
	quorum.Add(late)
	if !forgotten.Accepted || !late.Accepted || quorum.Decide() == Granted {
		t.Errorf("accepted before the restart: %v, after it by another holder: %v, decision %v; want both and not granted", forgotten.Accepted, late.Accepted, quorum.Decide())
	}
}

// TestClaimOfAnOlderGroupRefused guards against an intent that a new holder does not know: once
// a new holder has recovered from the others, these accept no claim for the previous version of
// the group.
func TestClaimOfAnOlderGroupRefused(t *testing.T) {
	c := newCluster(t, 5)
	q := c.claimRequest("first")
	c.setGroup("a", "d", "c")
	c.recoverAll()
	for _, holder := range []string{"a", "c"} {
		if r := c.claimAt(holder, q); r.Accepted {
			t.Errorf("holder %s accepted a claim of version %d at version %d", holder, q.Version, r.Version)
		}
	}
}

// TestGivenUpClaimStaysGivenUp guards against messages that arrive out of order: a claim that
// arrives after it was given up is rejected, and giving up one claim leaves another's intent.
func TestGivenUpClaimStaysGivenUp(t *testing.T) {
	c := newCluster(t, 6)
	h := c.holders["a"]
	giveUp := func(id string) {
		r := &schema.Record{Key: []byte("pew"), Claim: id, State: schema.RecordState_RECORD_VOID, Expires: c.now + 1000}
		if err := h.Settle(testRegion, r); err != nil {
			t.Fatal(err)
		}
	}
	giveUp("early")
	if r := c.claimAt("a", c.claimRequest("early")); r.Accepted {
		t.Error("a claim was accepted after it was given up")
	}
	if r := c.claimAt("a", c.claimRequest("next")); !r.Accepted {
		t.Error("a claim after one that was given up was rejected")
	}
	giveUp("early")
	if r := c.claimAt("a", c.claimRequest("third")); r.Accepted {
		t.Error("giving up one claim removed another's intent")
	}
}

// TestPruneKeepsUnexpiredRecords guards against records lost when the journal is rewritten: it
// then holds every record that has not expired and no other, and a holder that opens it is
// ready at once.
func TestPruneKeepsUnexpiredRecords(t *testing.T) {
	now := int64(1000)
	folder := t.TempDir()
	open := func() *Holder {
		h := &Holder{Host: "a", Incarnation: 1, UnixSeconds: func() int64 { return now }, Journal: &journaler.Journal{Folder: folder}}
		if err := h.Open(); err != nil {
			t.Fatal(err)
		}
		return h
	}
	h := open()
	for version := range uint64(2) {
		if err := h.Configure(&schema.Group{Region: testRegion, Version: version + 1, Holders: []string{"a", "b"}[:version+1]}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range int64(100) {
		q := &schema.ClaimRequest{Region: testRegion, Version: 2, Key: fmt.Appendf(nil, "key-%03d", i), Claim: fmt.Sprint(i), Expires: now + i}
		if r, err := h.Claim(q); err != nil || !r.Accepted {
			t.Fatalf("claim %d: reply %v, error %v", i, r, err)
		}
	}
	now += 40
	if err := h.Prune(); err != nil {
		t.Fatal(err)
	}
	if err := h.Journal.Close(); err != nil {
		t.Fatal(err)
	}
	reopened := open()
	if err := reopened.Configure(&schema.Group{Region: testRegion, Version: 2, Holders: []string{"a", "b"}}); err != nil {
		t.Fatal(err)
	}
	if got := reopened.RecordCount(); got != 60 || reopened.ReadyGroups()[testRegion] != 2 {
		t.Errorf("after a restart: %d records, ready groups %v; want 60 and version 2", got, reopened.ReadyGroups())
	}
}

// TestAnswerPreferredToWitnessRecord guards against a resend that gets no answer though a
// holder has it: if a witness, whose record lacks the answer, replies first, the decision waits
// for the other holders.
func TestAnswerPreferredToWitnessRecord(t *testing.T) {
	done := &schema.Record{Key: []byte("pew"), Claim: "first", State: schema.RecordState_RECORD_DONE, Status: 201, Type: "application/json"}
	quorum := &ClaimQuorum{HolderCount: 3, GroupVersion: 3, Claim: "second"}
	quorum.Add(&schema.ClaimReply{Holder: "witness", Ready: true, Version: 3, Record: WithoutAnswer(done)})
	if v := quorum.Decide(); v != Undecided {
		t.Errorf("after the witness's reply: decision %d, want undecided", v)
	}
	quorum.Add(&schema.ClaimReply{Holder: "a", Ready: true, Version: 3, Record: done})
	if v := quorum.Decide(); v != AlreadyClaimed || quorum.ExistingRecord().Status != 201 {
		t.Errorf("after the reply of a holder with the answer: decision %d, record %v; want already claimed, by a record with status 201", v, quorum.ExistingRecord())
	}
	witnessOnly := &ClaimQuorum{HolderCount: 3, GroupVersion: 3, Claim: "second"}
	witnessOnly.Add(&schema.ClaimReply{Holder: "witness", Ready: true, Version: 3, Record: WithoutAnswer(done)})
	witnessOnly.Add(nil)
	witnessOnly.Add(nil)
	if v := witnessOnly.Decide(); v != AlreadyClaimed {
		t.Errorf("when no other holder replies: decision %d, want already claimed", v)
	}
}
