package persister

import (
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// FuzzRecord guards against a record of the log's journal that ends the process when it is read: it is
// refused, or leaves entries that are numbered in order after the snapshot.
func FuzzRecord(f *testing.F) {
	for _, index := range []uint64{0, 4, 5, 7, 8, 9, 1 << 63, 1<<64 - 1} {
		f.Add(encodeEntry(f, &schema.Entry{Index: index, Term: 3, Data: []byte("a")}))
	}
	f.Add([]byte{})
	f.Add([]byte{recordHardState, 0xff})
	f.Add([]byte{99})
	f.Fuzz(func(t *testing.T, record []byte) {
		stored := replicator.StoredState{Snapshot: &schema.LogSnapshot{Index: 4}}
		for _, e := range makeEntries(2, 5, 7) {
			if err := replayRecord(&stored, encodeEntry(t, e)); err != nil {
				t.Fatal(err)
			}
		}
		if err := replayRecord(&stored, record); err != nil {
			return
		}
		for i, e := range stored.Entries {
			if e.Index != 5+uint64(i) {
				t.Fatalf("entry %d in place %d after the snapshot up to 4", e.Index, i)
			}
		}
	})
}

func encodeEntry(t testing.TB, e *schema.Entry) []byte {
	t.Helper()
	b, err := entryRecord(e)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
