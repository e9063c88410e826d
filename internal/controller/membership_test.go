package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// fixed is a standing whose answers are set.
type fixed struct {
	silent map[uint64]time.Duration
	behind map[uint64]bool
}

func (f fixed) silence(id uint64) time.Duration { return f.silent[id] }
func (f fixed) current(id uint64) bool          { return !f.behind[id] }

func member(id uint64, voter bool) *schema.Member {
	return &schema.Member{Id: id, Address: fmt.Sprint("a", id), Voter: voter}
}

func group(target int32, members ...*schema.Member) *schema.Members {
	return &schema.Members{Members: members, Target: target}
}

// TestNextChange gives the next step for each situation that a group may be in. Member 1
// leads.
func TestNextChange(t *testing.T) {
	three := []*schema.Member{member(1, true), member(2, true), member(3, true)}
	five := append(three[:3:3], member(4, true), member(5, true))
	wiped := &schema.Member{Id: 30, Address: "a3"}
	for _, c := range []struct {
		name       string
		members    *schema.Members
		candidates []candidate
		standing   fixed
		want       change
	}{
		{"nothing to do", group(3, three...), nil, fixed{}, nil},
		{"first start, another host asks", group(3, three...), []candidate{{member: member(4, false), first: true}}, fixed{}, &addition{member(4, false)}},
		{"first start, it has caught up", group(3, append(three[:3:3], member(4, false))...),
			[]candidate{{member: member(4, false), first: true}}, fixed{}, &promotion{id: 4, target: 4}},
		{"first start, it has not caught up", group(3, append(three[:3:3], member(4, false))...),
			[]candidate{{member: member(4, false), first: true}}, fixed{behind: map[uint64]bool{4: true}}, nil},
		{"a disk was lost", group(5, five...), []candidate{{member: wiped}}, fixed{}, &removal{3}},
		{"the old identity is out", group(5, append(five[:2:2], five[3:]...)...), []candidate{{member: wiped}}, fixed{}, &addition{wiped}},
		{"a place is free", group(5, append(append(five[:2:2], five[3:]...), &schema.Member{Id: 30, Address: "a3"})...),
			[]candidate{{member: wiped}}, fixed{}, &promotion{id: 30}},
		{"a later host waits while all voters are alive", group(5, append(five[:5:5], member(6, false))...),
			[]candidate{{member: member(6, false)}}, fixed{}, nil},
		{"a voter is silent", group(5, append(five[:5:5], member(6, false))...), []candidate{{member: member(6, false)}},
			fixed{silent: map[uint64]time.Duration{2: 4 * time.Second}}, &promotion{id: 6}},
		{"one voter too many, the silent one goes", group(5, append(five[:5:5], member(6, true))...), nil,
			fixed{silent: map[uint64]time.Duration{2: 4 * time.Second}}, &removal{2}},
		{"a cut without anyone to take the place", group(5, five...), nil, fixed{silent: map[uint64]time.Duration{2: time.Minute}}, nil},
		{"a learner that went away", group(5, append(five[:5:5], member(6, false))...), nil,
			fixed{silent: map[uint64]time.Duration{6: time.Minute}}, &removal{6}},
	} {
		got := nextChange(c.members, c.candidates, 1, c.standing)
		if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(addition{}, promotion{}, removal{}), protocmp.Transform()); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}

// TestGroupHeals lets every member but the leader lose its disk in turn, with a spare host
// that waits. After each loss the group must have five voters again, none of them an
// identity that was lost.
func TestGroupHeals(t *testing.T) {
	members := group(5, member(1, true), member(2, true), member(3, true), member(4, true), member(5, true), member(6, false))
	lost := map[uint64]bool{}
	for victim := uint64(2); victim <= 5; victim++ {
		fresh := candidate{member: &schema.Member{Id: victim * 10, Address: fmt.Sprint("a", victim)}}
		lost[victim] = true
		candidates := []candidate{fresh, {member: member(6, false)}}
		for range 10 {
			switch x := nextChange(members, candidates, 1, fixed{silent: map[uint64]time.Duration{victim: 5 * time.Second}}).(type) {
			case *addition:
				members.Members = append(members.Members, x.member)
			case *promotion:
				find(members, x.id).Voter = true
			case *removal:
				members.Members = without(members.Members, x.id)
			}
		}
		voters := 0
		for _, m := range members.Members {
			if lost[m.Id] {
				t.Fatalf("lost identity %d is a member", m.Id)
			}
			if m.Voter {
				voters++
			}
		}
		if voters != 5 {
			t.Fatalf("%d voters after the loss of %d, want 5: %v", voters, victim, members.Members)
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
