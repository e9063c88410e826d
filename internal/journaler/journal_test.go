package journaler

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/prober"
)

func open(t *testing.T, folder string) (*Journal, []string, error) {
	t.Helper()
	j := &Journal{Folder: folder, SegmentBytes: 200}
	var got []string
	err := j.Open(func(_ uint64, payload []byte) error {
		got = append(got, string(payload))
		return nil
	})
	return j, got, err
}

func fill(t *testing.T, folder string, n int) []string {
	t.Helper()
	j, _, err := open(t, folder)
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for i := range n {
		a, b := fmt.Sprintf("first part of record %d", i), fmt.Sprintf("second %d", i)
		if err := j.Append([]byte(a), []byte(b)); err != nil {
			t.Fatal(err)
		}
		want = append(want, a, b)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return want
}

func newest(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	if err != nil || len(files) < 2 {
		t.Fatalf("%d segments, %v", len(files), err)
	}
	return files[len(files)-1]
}

// TestTornTail cuts the newest segment at every byte of its last frame and requires that
// all frames before are read and the journal goes on.
func TestTornTail(t *testing.T) {
	template := t.TempDir()
	want := fill(t, template, 9)
	whole, err := os.ReadFile(newest(t, template))
	if err != nil {
		t.Fatal(err)
	}
	_, first := nextFrame(whole)
	last := 0
	for at := 0; at < len(whole); {
		last = at
		_, size := nextFrame(whole[at:])
		at += size
	}
	if first == 0 {
		t.Fatal("no frame")
	}
	for cut := last; cut < len(whole); cut++ {
		folder := t.TempDir()
		fill(t, folder, 9)
		if err := os.Truncate(newest(t, folder), int64(cut)); err != nil {
			t.Fatal(err)
		}
		j, got, err := open(t, folder)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if diff := cmp.Diff(want[:len(want)-2], got); diff != "" {
			t.Fatalf("cut at %d: -want +got:\n%s", cut, diff)
		}
		if err := j.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
		_ = j.Close()
		if _, got, err = open(t, folder); err != nil || got[len(got)-1] != "more" {
			t.Fatalf("cut at %d: after appending: %v", cut, err)
		}
	}
}

// TestDamageRefused flips a byte at every place but the last frame's and requires that the
// file and offset are named.
func TestDamageRefused(t *testing.T) {
	template := t.TempDir()
	fill(t, template, 9)
	first := filepath.Join(template, fmt.Sprintf("%016x%s", 1, segmentSuffix))
	whole, err := os.ReadFile(first)
	if err != nil {
		t.Fatal(err)
	}
	for at := range whole {
		damaged := append([]byte(nil), whole...)
		damaged[at] ^= 0x40
		if err := os.WriteFile(first, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := open(t, template)
		if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), first) || !strings.Contains(err.Error(), "offset") {
			t.Fatalf("byte %d: %v", at, err)
		}
	}
}

// TestFailedSync requires that a journal takes nothing more after a failed write or sync.
func TestFailedSync(t *testing.T) {
	for _, step := range []string{"journal.write", "journal.sync"} {
		t.Run(step, func(t *testing.T) {
			full := errors.New("no space left")
			fail := true
			j := &Journal{Folder: t.TempDir(), Points: &prober.Points{Visit: func(s string) error {
				if s == step && fail {
					return full
				}
				return nil
			}}}
			if err := j.Open(nil); err != nil {
				t.Fatal(err)
			}
			if err := j.Append([]byte("a")); !errors.Is(err, full) {
				t.Errorf("append: %v", err)
			}
			fail = false
			if err := j.Append([]byte("b")); !errors.Is(err, ErrBroken) {
				t.Errorf("append after a failure: %v", err)
			}
		})
	}
}

// TestLock requires that a folder has one user at a time.
func TestLock(t *testing.T) {
	folder := t.TempDir()
	unlock, err := Lock(folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(folder); !errors.Is(err, ErrLocked) {
		t.Errorf("second lock: %v", err)
	}
	if err := unlock(); err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(folder); err != nil {
		t.Errorf("lock after unlock: %v", err)
	}
}

// FuzzOpen requires that no content of a segment makes Open panic or lose whole frames
// silently: what was read before the damage is a prefix of what was written.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{}, 0)
	f.Add([]byte("TFL"), 40)
	f.Fuzz(func(t *testing.T, noise []byte, at int) {
		folder := t.TempDir()
		want := fill(t, folder, 3)
		path := filepath.Join(folder, fmt.Sprintf("%016x%s", 1, segmentSuffix))
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		at = max(0, min(at, len(b)))
		if err := os.WriteFile(path, append(b[:at:at], noise...), 0o600); err != nil {
			t.Fatal(err)
		}
		_, got, err := open(t, folder)
		for i := range min(len(got), len(want)) {
			if err == nil && got[i] != want[i] && len(noise) == 0 {
				t.Fatalf("record %d: %q", i, got[i])
			}
		}
	})
}
