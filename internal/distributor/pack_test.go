package distributor

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// largeDocument returns a command for a document of n routes.
func largeDocument(number uint64, n int) *schema.Command {
	d := &schema.Document{Number: number}
	for i := range n {
		r := &schema.Route{Name: fmt.Sprint("r-", i*7919), Host: "h.example", Prefix: fmt.Sprintf("/p%d/", i*104729), Timeout: 15, Targets: []*schema.Target{{Pool: "p", Weight: 1}}}
		d.Items = append(d.Items, &schema.Item{Path: "route/" + r.Host + r.Prefix, Value: &schema.Item_Route{Route: r}})
	}
	d.Items = append(d.Items, &schema.Item{Path: "pool/p", Value: &schema.Item_Pool{Pool: &schema.Pool{Name: "p"}}})
	return &schema.Command{Op: &schema.Command_Document{Document: d}}
}

// newRoot returns the Distributor of a control host that has applied documents of these numbers of routes.
func newRoot(t testing.TB, routes ...int) *Distributor {
	t.Helper()
	d := &Distributor{IsRoot: true}
	s := configurer.New()
	for i, n := range routes {
		result, delta := s.Apply(largeDocument(uint64(i+1), n))
		if delta == nil {
			t.Fatalf("document %d: %v", i+1, result)
		}
		if err := d.Advance(delta, s.Snapshot()); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// follow brings a follower up to date the way that an entry host does.
func follow(d, root *Distributor) error {
	current := d.Current()
	packed, plain, err := root.PackedUpdateFor(current.Version, current.Hash)
	if err != nil {
		return err
	}
	if packed != nil {
		if plain, err = Unpack(packed); err != nil {
			return err
		}
	}
	if s := plain.GetSnapshot(); s != nil {
		return d.Replace(configurer.FromMessage(s))
	}
	for _, delta := range plain.GetDeltas() {
		if err := d.ApplyDelta(delta); err != nil {
			return err
		}
	}
	return nil
}

// TestLargeUpdateIsPackedOnce guards against control hosts that have no time for anything else after a large
// change, because they encode and compress it for each of hundreds of entry hosts.
func TestLargeUpdateIsPackedOnce(t *testing.T) {
	root := newRoot(t, 10, 1400, 1400)
	old := newRoot(t, 10) // what most followers have
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Go(func() {
			d := &Distributor{}
			if i%3 != 0 { // the others start empty
				if err := d.Replace(configurer.FromMessage(old.Current().Message())); err != nil {
					t.Error(err)
				}
			}
			if err := follow(d, root); err != nil {
				t.Errorf("follower %d: %v", i, err)
			}
			if got, want := d.Current(), root.Current(); got.Version != want.Version || !bytes.Equal(got.Hash, want.Hash) {
				t.Errorf("follower %d: version %d, want %d", i, got.Version, want.Version)
			}
		})
	}
	wg.Wait()
	if got := root.packer.packs; got != 2 {
		t.Errorf("%d updates packed for 300 followers at 2 versions, want 2", got)
	}
}

// TestSmallUpdateIsNotPacked guards against packing what costs less to encode for each follower.
func TestSmallUpdateIsNotPacked(t *testing.T) {
	root := newRoot(t, 10, 12)
	first := newRoot(t, 10).Current()
	packed, plain, err := root.PackedUpdateFor(first.Version, first.Hash)
	if packed != nil || err != nil || len(plain.GetDeltas()) != 1 {
		t.Errorf("got %d bytes, %v, %v", len(packed), plain, err)
	}
	packed, plain, err = root.PackedUpdateFor(root.Current().Version, root.Current().Hash)
	if packed != nil || plain != nil || err != nil {
		t.Errorf("up to date: got %d bytes, %v, %v", len(packed), plain, err)
	}
}

// TestUnpackBadInput guards against a packed update that ends the process or changes anything although it was
// cut or spoiled on its way.
func TestUnpackBadInput(t *testing.T) {
	root := newRoot(t, 1400)
	packed, _, err := root.PackedUpdateFor(0, nil)
	if err != nil || len(packed) == 0 {
		t.Fatal(len(packed), err)
	}
	update, err := Unpack(packed)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(true, proto.Equal(root.Current().Message(), update.Snapshot)); diff != "" {
		t.Errorf("unpacked snapshot differs: -want +got\n%s", diff)
	}
	spoiled := bytes.Clone(packed)
	spoiled[len(spoiled)/2] ^= 0x55
	for name, b := range map[string][]byte{"empty": {}, "cut": packed[:len(packed)/2], "without its end": packed[:len(packed)-1], "spoiled": spoiled, "not packed": []byte("text")} {
		if _, err := Unpack(b); !errors.Is(err, ErrBadPack) {
			t.Errorf("%s: error %v, want ErrBadPack", name, err)
		}
	}
}

// BenchmarkLargeUpdate measures the update of one more follower after a change of 1,400 routes, before it is
// sent.
func BenchmarkLargeUpdate(b *testing.B) {
	root := newRoot(b, 10, 1400)
	first := newRoot(b, 10).Current()
	for b.Loop() {
		if _, _, err := root.PackedUpdateFor(first.Version, first.Hash); err != nil {
			b.Fatal(err)
		}
	}
}
