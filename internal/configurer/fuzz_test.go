package configurer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func marshal(f *testing.F, m proto.Message) []byte {
	f.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	return b
}

// fuzzState returns a state with an item of most kinds.
func fuzzState(t testing.TB) *State {
	t.Helper()
	s := New()
	for _, c := range []*schema.Command{
		applySheetCommand("r1", "a", 5, "x", customerItems("a", "b")),
		issueKeyCommand("r2", "a", "k1"),
		{Op: &schema.Command_Join{Join: &schema.Host{Name: "h", Region: "r", Listen: "l", Internal: "i", Disk: true, Identity: 7}}},
		{Op: &schema.Command_Join{Join: &schema.Host{Name: "j", Region: "r", Listen: "l", Internal: "i"}}},
		{Op: &schema.Command_Group{Group: &schema.Group{Region: "r", Version: 1, Holders: []string{"h"}}}},
		{Op: &schema.Command_Document{Document: &schema.Document{Number: 3, Source: []byte("s")}}},
		{Op: &schema.Command_Evacuate{Evacuate: &schema.Evacuate{Domain: "d"}}},
	} {
		if result, _ := s.Apply(c); result.Refusal != schema.Refusal_REFUSAL_NONE {
			t.Fatalf("%v: %v", c, result)
		}
	}
	return s
}

// FuzzCommand guards against a command of the log that ends the process, whose delta leads hosts to another
// configuration than the control host has, or after which the saved state is another.
func FuzzCommand(f *testing.F) {
	for _, c := range []*schema.Command{
		{},
		applySheetCommand("r3", "b", 6, "y", append(customerItems("b", "b"), &schema.Item{})),
		issueKeyCommand("r4", "b", "k2"),
		{Op: &schema.Command_Withdraw{Withdraw: &schema.WithdrawKeys{Hashes: []string{"k1", "", "k9", "k9"}}}},
		{Op: &schema.Command_Activate{Activate: &schema.ActivateHosts{Names: []string{"j", "j"}, Version: 1 << 60}}},
		{Op: &schema.Command_Drain{Drain: &schema.DrainHost{Name: "h"}}},
		{Op: &schema.Command_Remove{Remove: &schema.RemoveHost{Name: "h"}}},
		{Op: &schema.Command_Group{Group: &schema.Group{Region: "r", Version: 2, Holders: []string{"h", "j"}}}},
		{Op: &schema.Command_Document{Document: &schema.Document{Number: 4, Items: []*schema.Item{{Path: "route/x"}, {Path: "source"}, {Path: "document", Removed: true}}}}},
		{Op: &schema.Command_Document{Document: &schema.Document{Number: 4, Items: []*schema.Item{{Path: "source", Value: &schema.Item_Change{Change: &schema.Change{}}}}}}},
		{Op: &schema.Command_Evacuate{Evacuate: &schema.Evacuate{Domain: "d", End: true}}},
	} {
		f.Add(marshal(f, c))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c := &schema.Command{}
		if proto.Unmarshal(b, c) != nil {
			return
		}
		s := fuzzState(t)
		before := s.Snapshot()
		result, delta := s.Apply(c)
		if (delta != nil) != (s.Snapshot().Version > before.Version) || result.Refusal != schema.Refusal_REFUSAL_NONE && delta != nil {
			t.Errorf("version %d after %d, delta %v, result %v", s.Snapshot().Version, before.Version, delta, result)
		}
		if delta != nil {
			next, err := before.ApplyDelta(delta)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(s.Snapshot().Message(), next.Message(), protocmp.Transform()); diff != "" {
				t.Errorf("configuration after the delta: -control host +follower\n%s", diff)
			}
		}
		saved, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		restarted, err := Decode(saved)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.Snapshot().Message(), restarted.Snapshot().Message(), protocmp.Transform()); diff != "" {
			t.Errorf("configuration after a restart: -before +after\n%s", diff)
		}
		if diff := cmp.Diff(s.Document(), restarted.Document(), protocmp.Transform()); diff != "" {
			t.Errorf("document after a restart: -before +after\n%s", diff)
		}
	})
}

// FuzzState guards against a saved state that ends the process when it is read or used: it is refused, or
// saves as the same again.
func FuzzState(f *testing.F) {
	whole, err := fuzzState(f).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add(marshal(f, &schema.Snapshot{Version: 1 << 63, Items: []*schema.Item{{}, {Path: "host/x"}, {Path: "key/"}, {Removed: true}}, Answers: []*schema.Answer{{}, {}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			return
		}
		saved, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(saved)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.Snapshot().Message(), again.Snapshot().Message(), protocmp.Transform()); diff != "" {
			t.Errorf("state saved again: -before +after\n%s", diff)
		}
		s.Snapshot().Hosts()
		s.Snapshot().Bounds()
		NextHolders(s.Snapshot(), "r", func(string) bool { return true })
		s.Apply(&schema.Command{Op: &schema.Command_Join{Join: &schema.Host{Name: "new", Region: "r", Listen: "l", Internal: "i"}}})
		s.Apply(&schema.Command{Op: &schema.Command_Remove{Remove: &schema.RemoveHost{Name: "new"}}})
		s.Apply(applySheetCommand("r", "a", 1, "x", customerItems("a")))
		s.Apply(&schema.Command{Op: &schema.Command_Document{Document: &schema.Document{Number: 1 << 62}}})
	})
}
