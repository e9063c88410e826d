package configurer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func customers(names ...string) []*schema.Item {
	var items []*schema.Item
	for i, n := range names {
		items = append(items, &schema.Item{Path: "customer/" + n, Value: &schema.Item_Customer{
			Customer: &schema.Customer{Name: n, Rate: float64(i), Burst: 10},
		}})
	}
	return items
}

func sheet(request, operator string, number int64, hash string, items []*schema.Item) *schema.Command {
	return &schema.Command{Request: request, Operator: operator, Op: &schema.Command_Apply{
		Apply: &schema.ApplySheet{Number: number, Hash: hash, Items: items},
	}}
}

func issue(request, customer, hash string) *schema.Command {
	return &schema.Command{Request: request, Op: &schema.Command_Issue{Issue: &schema.Key{Customer: customer, Hash: hash}}}
}

// TestSheetNumbers follows operators who race, resend and fall behind.
func TestSheetNumbers(t *testing.T) {
	s := New()
	none := schema.Refusal_REFUSAL_NONE
	for _, c := range []struct {
		name    string
		command *schema.Command
		refusal schema.Refusal
		version uint64
	}{
		{"first", sheet("r1", "morag", 5, "x", customers("a", "b")), none, 1},
		{"resent with its identity", sheet("r1", "morag", 5, "x", customers("a", "b")), none, 1},
		{"key", issue("r2", "a", "k1"), none, 2},
		{"same sheet by another operator", sheet("r3", "iain", 5, "x", customers("a", "b")), none, 1},
		{"other content under the number", sheet("r4", "iain", 5, "y", customers("a")), schema.Refusal_REFUSAL_CONFLICT, 2},
		{"older number", sheet("r5", "iain", 4, "z", customers("a")), schema.Refusal_REFUSAL_STALE, 2},
		{"identity used for another change", sheet("r1", "morag", 6, "z", customers("a")), schema.Refusal_REFUSAL_CONFLICT, 2},
		{"removes most", sheet("r6", "morag", 6, "z", customers()), schema.Refusal_REFUSAL_GUARD, 2},
		{"key of nobody", issue("r7", "nobody", "k2"), schema.Refusal_REFUSAL_MISSING, 2},
		{"key twice", issue("r8", "a", "k1"), schema.Refusal_REFUSAL_DUPLICATE, 2},
		{"next", sheet("r9", "morag", 7, "w", customers("b")), none, 3},
		{"late resend of the first", sheet("r1", "morag", 5, "x", customers("a", "b")), none, 1},
	} {
		before := s.Snapshot()
		result, delta := s.Apply(c.command)
		if result.Refusal != c.refusal || result.Version != c.version {
			t.Errorf("%s: %v version %d (%s), want %v version %d", c.name, result.Refusal, result.Version, result.Detail, c.refusal, c.version)
		}
		if (delta == nil) != (s.Snapshot() == before) {
			t.Errorf("%s: delta %v does not match the change of the snapshot", c.name, delta)
		}
	}
	if !s.Snapshot().Key("k1").Withdrawn {
		t.Error("the key of a removed customer still works")
	}
}

// TestRestartKeepsAnswers requires that a resend after a restart gets the first answer.
func TestRestartKeepsAnswers(t *testing.T) {
	s := New()
	for i := range 300 {
		s.Apply(sheet(fmt.Sprintf("r%d", i), "morag", int64(i+1), fmt.Sprint(i), customers("a", "b", fmt.Sprint("c", i))))
	}
	b, err := s.Save()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Load(b)
	if err != nil {
		t.Fatal(err)
	}
	result, delta := again.Apply(sheet("r7", "morag", 8, "7", customers("a", "b", "c7")))
	if delta != nil || result.Version != 8 {
		t.Errorf("resend: version %d, delta %v", result.Version, delta)
	}
	if diff := cmp.Diff(s.Snapshot().Hash, again.Snapshot().Hash); diff != "" {
		t.Errorf("hash: -want +got:\n%s", diff)
	}
}

// TestFollowEqualsApply requires that a follower of the deltas holds what the state holds,
// and refuses a delta that does not follow.
func TestFollowEqualsApply(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := New()
	follower := FromMessage(nil)
	for i := range 500 {
		var c *schema.Command
		switch random.IntN(4) {
		case 0:
			c = sheet("", "morag", int64(i), fmt.Sprint(i), customers("a", "b", fmt.Sprint("c", random.IntN(9))))
		case 1:
			c = issue("", "a", fmt.Sprint("k", i))
		case 2:
			c = &schema.Command{Op: &schema.Command_Withdraw{Withdraw: &schema.WithdrawKeys{Hashes: []string{fmt.Sprint("k", random.IntN(i+1))}}}}
		case 3:
			c = &schema.Command{Op: &schema.Command_Join{Join: &schema.Host{Name: fmt.Sprint("h", random.IntN(9)), Region: "r", Listen: "l", Internal: fmt.Sprint(i)}}}
		}
		_, delta := s.Apply(c)
		if delta == nil {
			continue
		}
		wire := proto.Clone(delta).(*schema.Delta)
		next, err := follower.Follow(wire)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := next.Follow(wire); err == nil {
			t.Fatal("a delta was followed twice")
		}
		follower = next
	}
	if diff := cmp.Diff(string(s.Snapshot().Hash), string(follower.Hash)); diff != "" || len(follower.Items()) != len(s.Snapshot().Items()) {
		t.Errorf("follower differs: %s", diff)
	}
	withdrawnStay(t, s)
}

func withdrawnStay(t *testing.T, s *State) {
	t.Helper()
	for _, p := range s.Snapshot().Paths("key") {
		k := s.Snapshot().Item(p).GetKey()
		if !k.Withdrawn {
			continue
		}
		if result, _ := s.Apply(issue("", "a", k.Hash)); result.Refusal == schema.Refusal_REFUSAL_NONE {
			t.Fatalf("withdrawn key %s was issued again", k.Hash)
		}
	}
}

// TestSharesNeverAboveWhole joins, activates and removes hosts at random, with hosts that
// lag by any number of versions they may lag, and requires that the shares in use never
// add up to more than the whole.
func TestSharesNeverAboveWhole(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	s := New()
	versions := []*Snapshot{s.Snapshot()}
	inForce := map[string]uint64{}
	step := func(c *schema.Command) {
		if _, delta := s.Apply(c); delta != nil {
			versions = append(versions, s.Snapshot())
		}
	}
	for i := range 4000 {
		name := fmt.Sprint("h", random.IntN(7))
		switch random.IntN(4) {
		case 0:
			step(&schema.Command{Op: &schema.Command_Join{Join: &schema.Host{Name: name, Region: "r", Listen: "l", Internal: "i"}}})
		case 1:
			if random.IntN(4) == 0 {
				step(&schema.Command{Op: &schema.Command_Remove{Remove: &schema.RemoveHost{Name: name}}})
				delete(inForce, name)
			}
		case 2: // a host catches up a little
			inForce[name] += uint64(random.IntN(3))
			inForce[name] = min(inForce[name], s.Snapshot().Version)
		case 3:
			activateJoining(s, inForce, step)
		}
		total := int32(0)
		for _, h := range s.Snapshot().Hosts() {
			total += versions[inForce[h.Name]].Host(h.Name).GetShare()
		}
		if total > WholeShare {
			t.Fatalf("step %d: shares in use add up to %d", i, total)
		}
	}
}

// activateJoining does what the leader does once every host has the room in force.
func activateJoining(s *State, inForce map[string]uint64, step func(*schema.Command)) {
	var names []string
	after := uint64(0)
	for _, h := range s.Snapshot().Hosts() {
		if h.State == schema.HostState_HOST_JOINING {
			names = append(names, h.Name)
			after = max(after, h.After)
		}
	}
	for _, h := range s.Snapshot().Hosts() {
		if inForce[h.Name] < after {
			return
		}
	}
	step(&schema.Command{Op: &schema.Command_Activate{Activate: &schema.ActivateHosts{Names: names, Version: after}}})
}
