package journaler

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/injector"
)

func openJournal(t *testing.T, folder string) (*Journal, []string, error) {
	t.Helper()
	j := &Journal{Folder: folder, SegmentBytes: 200}
	var got []string
	err := j.Open(func(_ uint64, record []byte) error {
		got = append(got, string(record))
		return nil
	})
	return j, got, err
}

func appendTestRecords(t *testing.T, folder string, n int) []string {
	t.Helper()
	j, _, err := openJournal(t, folder)
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

func newestSegment(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	if err != nil || len(files) < 2 {
		t.Fatalf("got %d segments, want at least 2; error %v", len(files), err)
	}
	return files[len(files)-1]
}

// TestTornFrameDropped guards against a journal that cannot be opened, or loses earlier records,
// after a crash during a write. It truncates the newest segment at every byte of its last
// frame; all records before it must be read, and appending must work.
func TestTornFrameDropped(t *testing.T) {
	intactFolder := t.TempDir()
	want := appendTestRecords(t, intactFolder, 9)
	content, err := os.ReadFile(newestSegment(t, intactFolder))
	if err != nil {
		t.Fatal(err)
	}
	_, firstSize := nextFrame(content)
	lastOffset := 0
	for at := 0; at < len(content); {
		lastOffset = at
		_, size := nextFrame(content[at:])
		at += size
	}
	if firstSize == 0 {
		t.Fatal("the newest segment does not start with a frame")
	}
	for length := lastOffset; length < len(content); length++ {
		folder := t.TempDir()
		appendTestRecords(t, folder, 9)
		if err := os.Truncate(newestSegment(t, folder), int64(length)); err != nil {
			t.Fatal(err)
		}
		j, got, err := openJournal(t, folder)
		if err != nil {
			t.Fatalf("open with the newest segment truncated to %d bytes: %v", length, err)
		}
		if diff := cmp.Diff(want[:len(want)-2], got); diff != "" {
			t.Fatalf("records with the newest segment truncated to %d bytes: -want +got:\n%s", length, diff)
		}
		if err := j.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
		_ = j.Close()
		if _, got, err = openJournal(t, folder); err != nil || got[len(got)-1] != "more" {
			t.Fatalf("reopen after appending to a segment truncated to %d bytes: last record lost or error %v", length, err)
		}
	}
}

// TestDamageIsReported guards against silent loss of records to disk corruption. It flips one
// bit in each byte of a segment that is not the newest; Open must fail with the file and
// offset named.
func TestDamageIsReported(t *testing.T) {
	folder := t.TempDir()
	appendTestRecords(t, folder, 9)
	oldestSegment := filepath.Join(folder, fmt.Sprintf("%016x%s", 1, segmentSuffix))
	content, err := os.ReadFile(oldestSegment)
	if err != nil {
		t.Fatal(err)
	}
	for offset := range content {
		damaged := append([]byte(nil), content...)
		damaged[offset] ^= 0x40
		if err := os.WriteFile(oldestSegment, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := openJournal(t, folder)
		if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), oldestSegment) || !strings.Contains(err.Error(), "offset") {
			t.Fatalf("open with byte %d damaged: error %v, want ErrDamaged with the file and offset", offset, err)
		}
	}
}

// TestNoAppendAfterFailedSync guards against appends after a failed write or sync, when the kernel
// may have discarded earlier data: the journal must refuse them even if the disk works again.
func TestNoAppendAfterFailedSync(t *testing.T) {
	for _, step := range []string{"journal.write", "journal.sync"} {
		t.Run(step, func(t *testing.T) {
			errDiskFull := errors.New("no space left")
			failing := true
			j := &Journal{Folder: t.TempDir(), FaultPoints: &injector.FaultPoints{Visit: func(s string) error {
				if s == step && failing {
					return errDiskFull
				}
				return nil
			}}}
			if err := j.Open(nil); err != nil {
				t.Fatal(err)
			}
			if err := j.Append([]byte("a")); !errors.Is(err, errDiskFull) {
				t.Errorf("append with a failing disk: got error %v", err)
			}
			failing = false
			if err := j.Append([]byte("b")); !errors.Is(err, ErrBroken) {
				t.Errorf("append after a failure: error %v, want ErrBroken", err)
			}
		})
	}
}

// TestDropUnsynced guards against records that were written but not synced and are read back after
// the disk works again: nothing relied on them, and the kernel may not write them any more.
func TestDropUnsynced(t *testing.T) {
	errDisk := errors.New("input/output error")
	for _, step := range []string{"journal.write", "journal.sync"} {
		failing := false
		folder := t.TempDir()
		j := &Journal{Folder: folder, FaultPoints: &injector.FaultPoints{Visit: func(s string) error {
			if s == step && failing {
				return errDisk
			}
			return nil
		}}}
		if err := j.Open(nil); err != nil {
			t.Fatal(err)
		}
		if err := j.Append([]byte("kept")); err != nil {
			t.Fatal(err)
		}
		failing = true
		if err := j.Append([]byte("unsynced")); !errors.Is(err, errDisk) {
			t.Fatalf("%s: append with a failing disk: %v", step, err)
		}
		if err := errors.Join(j.DropUnsynced(), j.Close()); err != nil {
			t.Fatal(err)
		}
		var records []string
		again := &Journal{Folder: folder}
		if err := again.Open(func(_ uint64, record []byte) error { records = append(records, string(record)); return nil }); err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(again.Append([]byte("later")), again.Close()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"kept"}, records); diff != "" {
			t.Errorf("%s: -want +got\n%s", step, diff)
		}
	}
}

// TestLock requires that a folder can be locked only once at a time.
func TestLock(t *testing.T) {
	folder := t.TempDir()
	unlock, err := Lock(folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(folder); !errors.Is(err, ErrLocked) {
		t.Errorf("second lock: error %v, want ErrLocked", err)
	}
	if err := unlock(); err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(folder); err != nil {
		t.Errorf("lock after unlock: %v", err)
	}
}

// FuzzOpen guards against a panic of Open, and against wrong records that it reads without
// an error: a segment's end is replaced by arbitrary bytes. If the segment is only truncated
// and Open accepts it, each record read must equal the one written.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{}, 0)
	f.Add([]byte("TFL"), 40)
	f.Fuzz(func(t *testing.T, noise []byte, at int) {
		folder := t.TempDir()
		want := appendTestRecords(t, folder, 3)
		path := filepath.Join(folder, fmt.Sprintf("%016x%s", 1, segmentSuffix))
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		at = max(0, min(at, len(b)))
		if err := os.WriteFile(path, append(b[:at:at], noise...), 0o600); err != nil {
			t.Fatal(err)
		}
		_, got, err := openJournal(t, folder)
		for i := range min(len(got), len(want)) {
			if err == nil && got[i] != want[i] && len(noise) == 0 {
				t.Fatalf("record %d differs from what was written: %q", i, got[i])
			}
		}
	})
}
