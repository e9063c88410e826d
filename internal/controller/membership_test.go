package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// fixedStatus is a memberStatus with given values. behind are the members that have not
// caught up.
type fixedStatus struct {
	sinceReply map[uint64]time.Duration
	behind     map[uint64]bool
}

func (f fixedStatus) sinceLastReply(id uint64) time.Duration { return f.sinceReply[id] }
func (f fixedStatus) caughtUp(id uint64) bool                { return !f.behind[id] }

func newMember(id uint64, voter bool) *schema.Member {
	return &schema.Member{Id: id, Address: fmt.Sprint("a", id), Voter: voter}
}

func newMembers(target int32, members ...*schema.Member) *schema.Members {
	return &schema.Members{Members: members, Target: target}
}

// TestNextChange checks the next change for each state that a group may be in. Member 1 leads.
// A wrong choice removes a member that is needed, or gives a vote to a host that lacks entries.
func TestNextChange(t *testing.T) {
	three := []*schema.Member{newMember(1, true), newMember(2, true), newMember(3, true)}
	five := append(three[:3:3], newMember(4, true), newMember(5, true))
	newIdentity := &schema.Member{Id: 30, Address: "a3"}
	for _, c := range []struct {
		name       string
		members    *schema.Members
		candidates []candidate
		status     fixedStatus
		want       membershipChange
	}{
		{"nothing to do", newMembers(3, three...), nil, fixedStatus{}, nil},
		{"first start, another host requests to join", newMembers(3, three...), []candidate{{member: newMember(4, false), firstStart: true}}, fixedStatus{}, &addition{newMember(4, false)}},
		{"first start, the learner has caught up", newMembers(3, append(three[:3:3], newMember(4, false))...),
			[]candidate{{member: newMember(4, false), firstStart: true}}, fixedStatus{}, &promotion{id: 4, target: 4}},
		{"first start, the learner has not caught up", newMembers(3, append(three[:3:3], newMember(4, false))...),
			[]candidate{{member: newMember(4, false), firstStart: true}}, fixedStatus{behind: map[uint64]bool{4: true}}, nil},
		{"a member's disk was lost", newMembers(5, five...), []candidate{{member: newIdentity}}, fixedStatus{}, &removal{3}},
		{"the lost identity has been removed", newMembers(5, append(five[:2:2], five[3:]...)...), []candidate{{member: newIdentity}}, fixedStatus{}, &addition{newIdentity}},
		{"a voter is missing and a learner has caught up", newMembers(5, append(append(five[:2:2], five[3:]...), &schema.Member{Id: 30, Address: "a3"})...),
			[]candidate{{member: newIdentity}}, fixedStatus{}, &promotion{id: 30}},
		{"a later host stays a learner while all voters respond", newMembers(5, append(five[:5:5], newMember(6, false))...),
			[]candidate{{member: newMember(6, false)}}, fixedStatus{}, nil},
		{"a voter does not respond and a learner has caught up", newMembers(5, append(five[:5:5], newMember(6, false))...), []candidate{{member: newMember(6, false)}},
			fixedStatus{sinceReply: map[uint64]time.Duration{2: 4 * time.Second}}, &promotion{id: 6}},
		{"one voter too many, one does not respond", newMembers(5, append(five[:5:5], newMember(6, true))...), nil,
			fixedStatus{sinceReply: map[uint64]time.Duration{2: 4 * time.Second}}, &removal{2}},
		{"a voter does not respond and there is no learner", newMembers(5, five...), nil, fixedStatus{sinceReply: map[uint64]time.Duration{2: time.Minute}}, nil},
		{"a learner does not respond", newMembers(5, append(five[:5:5], newMember(6, false))...), nil,
			fixedStatus{sinceReply: map[uint64]time.Duration{6: time.Minute}}, &removal{6}},
	} {
		got := nextChange(c.members, c.candidates, 1, c.status)
		if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(addition{}, promotion{}, removal{}), protocmp.Transform()); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}

// TestGroupReplacesLostMembers guards against a group that stays too small, or keeps the vote of a
// lost identity, after disks are lost. Every member but the leader loses its disk in turn, while a
// spare host waits. After each loss the group must have five voters again, none of them with
// a lost identity.
func TestGroupReplacesLostMembers(t *testing.T) {
	members := newMembers(5, newMember(1, true), newMember(2, true), newMember(3, true), newMember(4, true), newMember(5, true), newMember(6, false))
	lost := map[uint64]bool{}
	for victim := uint64(2); victim <= 5; victim++ {
		newIdentity := candidate{member: &schema.Member{Id: victim * 10, Address: fmt.Sprint("a", victim)}}
		lost[victim] = true
		candidates := []candidate{newIdentity, {member: newMember(6, false)}}
		for range 10 {
			switch x := nextChange(members, candidates, 1, fixedStatus{sinceReply: map[uint64]time.Duration{victim: 5 * time.Second}}).(type) {
			case *addition:
				members.Members = append(members.Members, x.member)
			case *promotion:
				findMember(members, x.id).Voter = true
			case *removal:
				members.Members = without(members.Members, x.id)
			}
		}
		voters := 0
		for _, m := range members.Members {
			if lost[m.Id] {
				t.Fatalf("identity %d is a member after its disk was lost", m.Id)
			}
			if m.Voter {
				voters++
			}
		}
		if voters != 5 {
			t.Fatalf("%d voters after member %d lost its disk, want 5: %v", voters, victim, members.Members)
		}
	}
}

func without(members []*schema.Member, id uint64) []*schema.Member {
	var kept []*schema.Member
	for _, m := range members {
		if m.Id != id {
			kept = append(kept, m)
		}
	}
	return kept
}
