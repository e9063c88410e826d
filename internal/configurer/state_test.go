package configurer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func customerItems(names ...string) []*schema.Item {
	var items []*schema.Item
	for i, n := range names {
		items = append(items, &schema.Item{Path: "customer/" + n, Value: &schema.Item_Customer{
			Customer: &schema.Customer{Name: n, Rate: float64(i), Burst: 10},
		}})
	}
	return items
}

func applySheetCommand(request, operator string, number int64, hash string, items []*schema.Item) *schema.Command {
	return &schema.Command{Request: request, Operator: operator, Op: &schema.Command_Apply{
		Apply: &schema.ApplySheet{Number: number, Hash: hash, Items: items},
	}}
}

func issueKeyCommand(request, customer, hash string) *schema.Command {
	return &schema.Command{Request: request, Op: &schema.Command_Issue{Issue: &schema.Key{Customer: customer, Hash: hash}}}
}

// TestSheetNumbers guards against a sheet that replaces a newer one, and against a resend
// that is applied twice: two operators apply sheets at once, resend them and use old numbers.
func TestSheetNumbers(t *testing.T) {
	s := New()
	none := schema.Refusal_REFUSAL_NONE
	for _, c := range []struct {
		name    string
		command *schema.Command
		refusal schema.Refusal
		version uint64
	}{
		{"first", applySheetCommand("r1", "morag", 5, "x", customerItems("a", "b")), none, 1},
		{"resent with its identity", applySheetCommand("r1", "morag", 5, "x", customerItems("a", "b")), none, 1},
		{"key", issueKeyCommand("r2", "a", "k1"), none, 2},
		{"same sheet by another operator", applySheetCommand("r3", "iain", 5, "x", customerItems("a", "b")), none, 1},
		{"other content under the number", applySheetCommand("r4", "iain", 5, "y", customerItems("a")), schema.Refusal_REFUSAL_CONFLICT, 2},
		{"older number", applySheetCommand("r5", "iain", 4, "z", customerItems("a")), schema.Refusal_REFUSAL_STALE, 2},
		{"identity used for another change", applySheetCommand("r1", "morag", 6, "z", customerItems("a")), schema.Refusal_REFUSAL_CONFLICT, 2},
		{"removes most", applySheetCommand("r6", "morag", 6, "z", customerItems()), schema.Refusal_REFUSAL_GUARD, 2},
		{"key of nobody", issueKeyCommand("r7", "nobody", "k2"), schema.Refusal_REFUSAL_MISSING, 2},
		{"key twice", issueKeyCommand("r8", "a", "k1"), schema.Refusal_REFUSAL_DUPLICATE, 2},
		{"next", applySheetCommand("r9", "morag", 7, "w", customerItems("b")), none, 3},
		{"late resend of the first", applySheetCommand("r1", "morag", 5, "x", customerItems("a", "b")), none, 1},
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
		t.Error("the key of a removed customer is not withdrawn")
	}
}

// TestRestartKeepsAnswers guards against answers that a restart loses: a request resent to
// the restored state must get its first answer and not be applied again.
func TestRestartKeepsAnswers(t *testing.T) {
	s := New()
	for i := range 300 {
		s.Apply(applySheetCommand(fmt.Sprintf("r%d", i), "morag", int64(i+1), fmt.Sprint(i), customerItems("a", "b", fmt.Sprint("c", i))))
	}
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	result, delta := restored.Apply(applySheetCommand("r7", "morag", 8, "7", customerItems("a", "b", "c7")))
	if delta != nil || result.Version != 8 {
		t.Errorf("resend after the restart: version %d, delta %v, want version 8, no delta", result.Version, delta)
	}
	if diff := cmp.Diff(s.Snapshot().Hash, restored.Snapshot().Hash); diff != "" {
		t.Errorf("hash after the restart: -want +got:\n%s", diff)
	}
}

// TestDeltasEqualApply guards against followers that diverge from the control hosts: after
// random commands a snapshot kept by deltas must equal the state's, and a delta that does not
// continue the snapshot must be refused.
func TestDeltasEqualApply(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := New()
	follower := FromMessage(nil)
	for i := range 500 {
		var c *schema.Command
		switch random.IntN(4) {
		case 0:
			c = applySheetCommand("", "morag", int64(i), fmt.Sprint(i), customerItems("a", "b", fmt.Sprint("c", random.IntN(9))))
		case 1:
			c = issueKeyCommand("", "a", fmt.Sprint("k", i))
		case 2:
			c = &schema.Command{Op: &schema.Command_Withdraw{Withdraw: &schema.WithdrawKeys{Hashes: []string{fmt.Sprint("k", random.IntN(i+1))}}}}
		case 3:
			c = &schema.Command{Op: &schema.Command_Join{Join: &schema.Host{Name: fmt.Sprint("h", random.IntN(9)), Region: "r", Listen: "l", Internal: fmt.Sprint(i)}}}
		}
		_, delta := s.Apply(c)
		if delta == nil {
			continue
		}
		received := proto.Clone(delta).(*schema.Delta)
		next, err := follower.ApplyDelta(received)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := next.ApplyDelta(received); err == nil {
			t.Fatal("the same delta was applied twice")
		}
		follower = next
	}
	if diff := cmp.Diff(string(s.Snapshot().Hash), string(follower.Hash)); diff != "" || len(follower.Items()) != len(s.Snapshot().Items()) {
		t.Errorf("the follower's snapshot differs from the state's: %s", diff)
	}
	checkWithdrawnKeysNotReissued(t, s)
}

func checkWithdrawnKeysNotReissued(t *testing.T, s *State) {
	t.Helper()
	for _, p := range s.Snapshot().Paths("key") {
		k := s.Snapshot().Item(p).GetKey()
		if !k.Withdrawn {
			continue
		}
		if result, _ := s.Apply(issueKeyCommand("", "a", k.Hash)); result.Refusal == schema.Refusal_REFUSAL_NONE {
			t.Fatalf("withdrawn key %s was issued again", k.Hash)
		}
	}
}

// TestSharesInUseNeverExceedTotal guards against customers over their rate while hosts join and
// leave: hosts join, are activated and removed at random while others still use an older
// version, and the shares in use must never add up to more than TotalShare.
func TestSharesInUseNeverExceedTotal(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	s := New()
	versions := []*Snapshot{s.Snapshot()}
	versionInForce := map[string]uint64{}
	apply := func(c *schema.Command) {
		if _, delta := s.Apply(c); delta != nil {
			versions = append(versions, s.Snapshot())
		}
	}
	for i := range 4000 {
		name := fmt.Sprint("h", random.IntN(7))
		switch random.IntN(4) {
		case 0:
			apply(&schema.Command{Op: &schema.Command_Join{Join: &schema.Host{Name: name, Region: "r", Listen: "l", Internal: "i"}}})
		case 1:
			if random.IntN(4) == 0 {
				apply(&schema.Command{Op: &schema.Command_Remove{Remove: &schema.RemoveHost{Name: name}}})
				delete(versionInForce, name)
			}
		case 2: // the host puts up to two more versions in force
			versionInForce[name] += uint64(random.IntN(3))
			versionInForce[name] = min(versionInForce[name], s.Snapshot().Version)
		case 3:
			activateJoiningHosts(s, versionInForce, apply)
		}
		total := int32(0)
		for _, h := range s.Snapshot().Hosts() {
			total += versions[versionInForce[h.Name]].Host(h.Name).GetShare()
		}
		if total > TotalShare {
			t.Fatalf("step %d: shares in use add up to %d", i, total)
		}
	}
}

// activateJoiningHosts activates the joining hosts, as the leader does, if every host has the
// version with the reduced shares in force.
func activateJoiningHosts(s *State, versionInForce map[string]uint64, apply func(*schema.Command)) {
	var names []string
	after := uint64(0)
	for _, h := range s.Snapshot().Hosts() {
		if h.State == schema.HostState_HOST_JOINING {
			names = append(names, h.Name)
			after = max(after, h.After)
		}
	}
	for _, h := range s.Snapshot().Hosts() {
		if versionInForce[h.Name] < after {
			return
		}
	}
	apply(&schema.Command{Op: &schema.Command_Activate{Activate: &schema.ActivateHosts{Names: names, Version: after}}})
}
