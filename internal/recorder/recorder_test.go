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

const simRegion = "clyde"

// crew is some holders and claimants on a network that delays, reorders and drops.
type crew struct {
	t       *testing.T
	random  *rand.Rand
	now     int64
	boots   uint64
	holders map[string]*Holder
	group   *schema.Group
	mail    []func()
	claims  int
	// runs counts the claims that were granted, by key.
	runs    map[string]int
	granted int
	folder  string
}

func newCrew(t *testing.T, seed uint64) *crew {
	c := &crew{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: 1000, holders: map[string]*Holder{},
		runs: map[string]int{}, folder: t.TempDir(),
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.boot(name)
	}
	c.setGroup("a")
	c.settleAll()
	c.setGroup("a", "b")
	c.settleAll()
	c.setGroup("a", "b", "c")
	c.settleAll()
	return c
}

// boot starts a holder. Holder d has a disk; the others remember nothing.
func (c *crew) boot(name string) {
	c.boots++
	h := &Holder{Host: name, Incarnation: c.boots, Unix: func() int64 { return c.now }}
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

func (c *crew) configure(name string) {
	if err := c.holders[name].Configure(proto.Clone(c.group).(*schema.Group)); err != nil {
		c.t.Fatal(err)
	}
}

// setGroup puts holders in force at random times at each of them.
func (c *crew) setGroup(holders ...string) {
	version := uint64(1)
	if c.group != nil {
		version = c.group.Version + 1
	}
	c.group = &schema.Group{Region: simRegion, Version: version, Holders: holders}
	for name := range c.holders {
		c.post(func() { c.configure(name) })
	}
}

func (c *crew) post(f func()) { c.mail = append(c.mail, f) }

// deliver delivers one message at random; some are lost.
func (c *crew) deliver() {
	if len(c.mail) == 0 {
		return
	}
	i := c.random.IntN(len(c.mail))
	f := c.mail[i]
	c.mail = slices.Delete(c.mail, i, i+1)
	if c.random.IntN(12) > 0 {
		f()
	}
}

func (c *crew) settleAll() {
	for range 400 {
		for _, name := range c.names() {
			c.survey(name)
		}
		for len(c.mail) > 0 {
			c.deliver()
		}
		for _, name := range c.names() {
			c.configure(name)
		}
		if c.retainedReady(c.group.Holders) {
			return
		}
	}
	c.t.Fatal("the group does not become ready without faults")
}

func (c *crew) names() []string { return []string{"a", "b", "c", "d"} }

// survey sends what a holder that is not ready asks the others.
func (c *crew) survey(name string) {
	h := c.holders[name]
	requests := h.Surveys(func(string) bool { return false })
	for _, other := range c.names() {
		for _, q := range requests[other] {
			c.post(func() {
				reply := c.holders[other].Survey(q)
				c.post(func() {
					if c.holders[name] == h {
						_ = h.Surveyed(other, q, reply)
					}
				})
			})
		}
	}
}

// claim tries to run a key from a new claimant.
func (c *crew) claim(key string) {
	c.claims++
	id := fmt.Sprintf("claim-%d", c.claims)
	group := c.group
	t := &Tally{Holders: len(group.Holders), Version: group.Version, Claim: id}
	decided := false
	count := func(r *schema.ClaimReply) {
		t.Add(r)
		verdict := t.Verdict()
		if decided || verdict == Open {
			return
		}
		decided = true
		c.decide(verdict, key, id, group)
	}
	for _, holder := range group.Holders {
		q := &schema.ClaimRequest{Region: simRegion, Version: group.Version, Key: []byte(key), Claim: id, Expires: c.now + 1000}
		c.post(func() {
			reply, err := c.holders[holder].Claim(q)
			if err != nil {
				c.t.Fatal(err)
			}
			c.post(func() { count(reply) })
		})
	}
}

// decide runs a granted call, which may then be settled or not, or gives the claim up.
func (c *crew) decide(v Verdict, key, id string, group *schema.Group) {
	state := schema.RecordState_RECORD_VOID
	if v == Granted {
		c.granted++
		c.runs[key]++
		if c.runs[key] > 1 {
			c.t.Fatalf("key %s ran %d times", key, c.runs[key])
		}
		state = schema.RecordState_RECORD_DONE
		switch c.random.IntN(4) {
		case 0:
			return // the claimant died
		case 1:
			c.runs[key]-- // nothing reached the upstream
			state = schema.RecordState_RECORD_VOID
		}
	}
	r := &schema.Record{Key: []byte(key), Claim: id, State: state, Expires: c.now + 1000}
	for _, holder := range group.Holders {
		c.post(func() {
			if err := c.holders[holder].Settle(simRegion, r); err != nil {
				c.t.Fatal(err)
			}
		})
	}
}

// retainedReady reports whether all of the present holders that stay are ready.
func (c *crew) retainedReady(next []string) bool {
	for _, name := range c.group.Holders {
		if slices.Contains(next, name) && c.holders[name].Ready()[simRegion] != c.group.Version {
			return false
		}
	}
	return true
}

// replace takes one holder out for the host that is none, as the control hosts would.
func (c *crew) replace() {
	next := slices.Clone(c.group.Holders)
	spare := slices.IndexFunc(c.names(), func(n string) bool { return !slices.Contains(next, n) })
	next[c.random.IntN(len(next))] = c.names()[spare]
	if c.retainedReady(next) {
		c.setGroup(next...)
	}
}

// TestAtMostOneRun loses memories, replaces holders and lets claimants die at every step,
// and requires that no key is granted twice.
func TestAtMostOneRun(t *testing.T) {
	total := 0
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCrew(t, seed)
			for n := range 1500 {
				switch k := c.random.IntN(1000); {
				case k < 760:
					c.deliver()
				case k < 830:
					c.claim(fmt.Sprintf("key-%d", n/150+c.random.IntN(2)))
				case k < 930:
					c.survey(c.names()[c.random.IntN(4)])
				case k < 934:
					c.boot(c.names()[c.random.IntN(4)])
				case k < 944:
					c.replace()
				default:
					c.configure(c.names()[c.random.IntN(4)])
				}
			}
			total += c.granted
		})
	}
	if total == 0 {
		t.Error("nothing was granted in any schedule")
	}
	t.Logf("%d claims granted", total)
}

// TestLostMemoriesCloseTheGroup requires that a group that lost too many memories at once
// refuses every claim until the records that may be lost have expired.
func TestLostMemoriesCloseTheGroup(t *testing.T) {
	c := newCrew(t, 1)
	c.boot("a")
	c.boot("b")
	for range 50 {
		c.survey("a")
		c.survey("b")
		for len(c.mail) > 0 {
			c.deliver()
		}
	}
	if len(c.holders["a"].Ready()) != 0 || len(c.holders["b"].Ready()) != 0 {
		t.Fatal("holders that lost their memory together became ready")
	}
	c.now += int64(Retention.Seconds()) + 1
	if len(c.holders["a"].Ready()) != 1 {
		t.Error("the group stays closed after every record has expired")
	}
}

// TestSecondLossAfterRepair loses one holder, repairs it, then loses another, and requires
// that the intent is still known.
func TestSecondLossAfterRepair(t *testing.T) {
	c := newCrew(t, 2)
	q := &schema.ClaimRequest{Region: simRegion, Version: c.group.Version, Key: []byte("pew"), Claim: "first", Expires: c.now + 1000}
	for _, name := range []string{"a", "b"} { // c never hears of it
		if r, err := c.holders[name].Claim(q); err != nil || !r.Accepted {
			t.Fatalf("holder %s: accepted %v, %v", name, r.GetAccepted(), err)
		}
	}
	for _, name := range []string{"a", "b"} {
		c.boot(name)
		c.settleAll()
	}
	for _, name := range c.group.Holders {
		if r := c.holders[name].Lookup(simRegion, []byte("pew")); name != "c" && r == nil {
			t.Errorf("holder %s lost the intent", name)
		}
	}
}

// TestGivingUpOneOfTwoIntents requires that a holder that learnt of two intents for one key
// keeps refusing when one of them is given up: the other may have been granted.
func TestGivingUpOneOfTwoIntents(t *testing.T) {
	c := newCrew(t, 3)
	intent := func(holder, id string) {
		q := &schema.ClaimRequest{Region: simRegion, Version: c.group.Version, Key: []byte("pew"), Claim: id, Expires: c.now + 1000}
		if r, err := c.holders[holder].Claim(q); err != nil || !r.Accepted {
			t.Fatalf("holder %s: %v, %v", holder, r, err)
		}
	}
	intent("a", "granted")
	intent("b", "granted")
	intent("c", "other")
	c.boot("a")
	c.settleAll()
	gone := &schema.Record{Key: []byte("pew"), Claim: "other", State: schema.RecordState_RECORD_VOID, Expires: c.now + 1000}
	if err := c.holders["a"].Settle(simRegion, gone); err != nil {
		t.Fatal(err)
	}
	q := &schema.ClaimRequest{Region: simRegion, Version: c.group.Version, Key: []byte("pew"), Claim: "third", Expires: c.now + 1000}
	if r, err := c.holders["a"].Claim(q); err != nil || r.Accepted {
		t.Errorf("a third claim: %v, %v", r, err)
	}
}

// request returns a claim of a key at the crew's present group.
func (c *crew) request(id string) *schema.ClaimRequest {
	return &schema.ClaimRequest{Region: simRegion, Version: c.group.Version, Key: []byte("pew"), Claim: id, Expires: c.now + 1000}
}

func (c *crew) accept(holder string, q *schema.ClaimRequest) *schema.ClaimReply {
	c.t.Helper()
	r, err := c.holders[holder].Claim(q)
	if err != nil {
		c.t.Fatal(err)
	}
	return r
}

// TestForgottenAcceptanceDoesNotCount lets a holder accept an intent, lose its memory and
// be repaired before a second one accepts, and requires that the two are no majority.
func TestForgottenAcceptanceDoesNotCount(t *testing.T) {
	c := newCrew(t, 4)
	q := c.request("first")
	forgotten := c.accept("c", q)
	c.boot("c")
	c.settleAll()
	late := c.accept("a", q)
	tally := &Tally{Holders: 3, Version: c.group.Version, Claim: q.Claim}
	tally.Add(forgotten)
	tally.Add(late)
	if !forgotten.Accepted || !late.Accepted || tally.Verdict() == Granted {
		t.Errorf("accepted %v and %v, verdict %v", forgotten.Accepted, late.Accepted, tally.Verdict())
	}
}

// TestClaimOfAnOlderGroupRefused requires that a holder that a new member has surveyed
// accepts nothing for the group before.
func TestClaimOfAnOlderGroupRefused(t *testing.T) {
	c := newCrew(t, 5)
	q := c.request("first")
	c.setGroup("a", "d", "c")
	c.settleAll()
	for _, holder := range []string{"a", "c"} {
		if r := c.accept(holder, q); r.Accepted {
			t.Errorf("holder %s accepted a claim of version %d at version %d", holder, q.Version, r.Version)
		}
	}
}

// TestGivenUpClaimStaysGivenUp requires that a claim that arrives after it was given up is
// refused, and that giving up another claim clears nothing.
func TestGivenUpClaimStaysGivenUp(t *testing.T) {
	c := newCrew(t, 6)
	h := c.holders["a"]
	void := func(id string) {
		r := &schema.Record{Key: []byte("pew"), Claim: id, State: schema.RecordState_RECORD_VOID, Expires: c.now + 1000}
		if err := h.Settle(simRegion, r); err != nil {
			t.Fatal(err)
		}
	}
	void("early")
	if r := c.accept("a", c.request("early")); r.Accepted {
		t.Error("a claim was accepted after it was given up")
	}
	if r := c.accept("a", c.request("next")); !r.Accepted {
		t.Error("the next claim was refused")
	}
	void("early")
	if r := c.accept("a", c.request("third")); r.Accepted {
		t.Error("giving up one claim cleared another")
	}
}

// TestPruneKeepsWhatHasNotExpired requires that a journal that was rewritten holds every
// live record and no expired one, and that the holder is ready again at once.
func TestPruneKeepsWhatHasNotExpired(t *testing.T) {
	now := int64(1000)
	folder := t.TempDir()
	open := func() *Holder {
		h := &Holder{Host: "a", Incarnation: 1, Unix: func() int64 { return now }, Journal: &journaler.Journal{Folder: folder}}
		if err := h.Open(); err != nil {
			t.Fatal(err)
		}
		return h
	}
	h := open()
	for version := range uint64(2) {
		if err := h.Configure(&schema.Group{Region: simRegion, Version: version + 1, Holders: []string{"a", "b"}[:version+1]}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range int64(100) {
		q := &schema.ClaimRequest{Region: simRegion, Version: 2, Key: fmt.Appendf(nil, "key-%03d", i), Claim: fmt.Sprint(i), Expires: now + i}
		if r, err := h.Claim(q); err != nil || !r.Accepted {
			t.Fatalf("claim %d: %v, %v", i, r, err)
		}
	}
	now += 40
	if err := h.Prune(); err != nil {
		t.Fatal(err)
	}
	if err := h.Journal.Close(); err != nil {
		t.Fatal(err)
	}
	again := open()
	if err := again.Configure(&schema.Group{Region: simRegion, Version: 2, Holders: []string{"a", "b"}}); err != nil {
		t.Fatal(err)
	}
	if got := again.Count(); got != 60 || again.Ready()[simRegion] != 2 {
		t.Errorf("%d records, ready %v; want 60 and version 2", got, again.Ready())
	}
}

// TestAnswerOfAHolderBeforeThatOfAWitness requires that a resend waits for the holder that
// keeps the answer when a witness, which does not, replies first.
func TestAnswerOfAHolderBeforeThatOfAWitness(t *testing.T) {
	done := &schema.Record{Key: []byte("pew"), Claim: "first", State: schema.RecordState_RECORD_DONE, Status: 201, Type: "application/json"}
	tally := &Tally{Holders: 3, Version: 3, Claim: "second"}
	tally.Add(&schema.ClaimReply{Holder: "witness", Ready: true, Version: 3, Record: Witnessed(done)})
	if v := tally.Verdict(); v != Open {
		t.Errorf("after the witness: verdict %d", v)
	}
	tally.Add(&schema.ClaimReply{Holder: "a", Ready: true, Version: 3, Record: done})
	if v := tally.Verdict(); v != Taken || tally.Record().Status != 201 {
		t.Errorf("after the holder: verdict %d, record %v", v, tally.Record())
	}
	lost := &Tally{Holders: 3, Version: 3, Claim: "second"}
	lost.Add(&schema.ClaimReply{Holder: "witness", Ready: true, Version: 3, Record: Witnessed(done)})
	lost.Add(nil)
	lost.Add(nil)
	if v := lost.Verdict(); v != Taken {
		t.Errorf("when no holder answers: verdict %d", v)
	}
}
