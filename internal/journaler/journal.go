package journaler

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"github.com/trefoilloft/trefoilloft/internal/injector"
)

const (
	segmentSuffix       = ".seg"
	defaultSegmentBytes = 4 << 20
	folderMode          = 0o750
	fileMode            = 0o640
)

// Errors of journals, files and folders.
var (
	// ErrDamaged reports damage that a crash during a write cannot have caused.
	ErrDamaged = errors.New("journaler: damaged file")
	// ErrBroken reports that a write or sync failed now or earlier, or that the journal is
	// closed.
	ErrBroken = errors.New("journaler: closed, or a write failed")
	// ErrLocked reports that the folder is locked, usually by another process.
	ErrLocked = errors.New("journaler: folder is in use")
)

// Journal is a write-ahead log in the segment files of one folder. Set the exported fields,
// then call Open. It is not safe for concurrent use.
type Journal struct {
	Folder string
	// SegmentBytes is the segment size at or above which Append starts a new segment; 0
	// means 4 MiB.
	SegmentBytes int64
	FaultPoints  *injector.FaultPoints

	file         *os.File
	newestNumber uint64 // of the segment that file has open
	segmentSize  int64
	// syncedSize is the size of the newest segment up to the end of the last synced frame.
	syncedSize int64
	brokenErr  error
}

// Open calls replay with each record in order, then makes the journal ready to append. The
// record is only valid during the call. A truncated last frame is dropped; other damage is
// ErrDamaged.
func (j *Journal) Open(replay func(segment uint64, record []byte) error) error {
	if j.SegmentBytes == 0 {
		j.SegmentBytes = defaultSegmentBytes
	}
	if err := os.MkdirAll(j.Folder, folderMode); err != nil {
		return fmt.Errorf("journaler: %w", err)
	}
	numbers, err := j.listSegments()
	if err != nil {
		return err
	}
	for i, n := range numbers {
		if err := j.readSegment(n, i == len(numbers)-1, replay); err != nil {
			return err
		}
		j.newestNumber = n
	}
	if len(numbers) == 0 {
		return j.startSegment(1)
	}
	return j.openNewestSegment()
}

func (j *Journal) segmentPath(number uint64) string {
	return filepath.Join(j.Folder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

func (j *Journal) listSegments() ([]uint64, error) {
	files, err := os.ReadDir(j.Folder)
	if err != nil {
		return nil, fmt.Errorf("journaler: %w", err)
	}
	var numbers []uint64
	for _, e := range files {
		stem, ok := strings.CutSuffix(e.Name(), segmentSuffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(stem, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("%w: %s: file name is not a segment number", ErrDamaged, e.Name())
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for i := 1; i < len(numbers); i++ {
		if numbers[i] != numbers[i-1]+1 {
			return nil, fmt.Errorf("%w: %s: segment file is missing", ErrDamaged, j.segmentPath(numbers[i-1]+1))
		}
	}
	return numbers, nil
}

func (j *Journal) readSegment(number uint64, newest bool, replay func(uint64, []byte) error) error {
	path := j.segmentPath(number)
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("journaler: %w", err)
	}
	offset := 0
	for offset < len(b) {
		payload, size := nextFrame(b[offset:])
		if size == 0 {
			return j.truncateTornTail(path, b, offset, newest)
		}
		err := forEachRecord(payload, func(record []byte) error { return replay(number, record) })
		if err != nil {
			return fmt.Errorf("%s: offset %d: %w", path, offset, err)
		}
		offset += size
	}
	return nil
}

// truncateTornTail removes a frame that a crash left partly written at the end of the
// newest segment. Damage in an older segment, or with a complete frame after it, is
// ErrDamaged.
func (j *Journal) truncateTornTail(path string, b []byte, offset int, newest bool) error {
	if !newest || holdsFrame(b[offset:]) {
		return fmt.Errorf("%w: %s: offset %d", ErrDamaged, path, offset)
	}
	f, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("journaler: %w", err)
	}
	err = errors.Join(f.Truncate(int64(offset)), f.Sync(), f.Close())
	if err != nil {
		return fmt.Errorf("journaler: %w", err)
	}
	return nil
}

func (j *Journal) startSegment(number uint64) error {
	f, err := os.OpenFile(j.segmentPath(number), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return j.markBroken(err)
	}
	if err := SyncFolder(j.Folder); err != nil {
		return j.markBroken(errors.Join(err, f.Close()))
	}
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return j.markBroken(errors.Join(err, f.Close()))
		}
	}
	j.file, j.newestNumber, j.segmentSize, j.syncedSize = f, number, 0, 0
	return nil
}

func (j *Journal) openNewestSegment() error {
	f, err := os.OpenFile(j.segmentPath(j.newestNumber), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return j.markBroken(err)
	}
	// What was just read may still be unsynced, if an earlier process ended before its sync.
	info, err := f.Stat()
	if err = errors.Join(err, f.Sync()); err != nil {
		return j.markBroken(errors.Join(err, f.Close()))
	}
	j.file, j.segmentSize, j.syncedSize = f, info.Size(), info.Size()
	return nil
}

// Append writes the records as one frame and syncs it: after a crash either all of them are
// read back or none. After an error the journal accepts no more records.
func (j *Journal) Append(records ...[]byte) error {
	if j.brokenErr != nil {
		return j.brokenErr
	}
	if j.segmentSize >= j.SegmentBytes {
		if err := j.startSegment(j.newestNumber + 1); err != nil {
			return err
		}
	}
	b := appendFrame(nil, joinRecords(records))
	if err := j.FaultPoints.Hit("journal.write"); err != nil {
		return j.markBroken(err)
	}
	if _, err := j.file.Write(b); err != nil {
		return j.markBroken(err)
	}
	j.segmentSize += int64(len(b))
	if err := j.FaultPoints.Hit("journal.sync"); err != nil {
		return j.markBroken(err)
	}
	if err := j.file.Sync(); err != nil {
		return j.markBroken(err)
	}
	j.syncedSize = j.segmentSize
	return nil
}

// DropUnsynced removes what a failed append left in the newest segment, so that a later Open does not
// take it for synced. After an error it may be called again.
func (j *Journal) DropUnsynced() error {
	if j.file == nil {
		return nil
	}
	if err := errors.Join(j.file.Truncate(j.syncedSize), j.file.Sync()); err != nil {
		return fmt.Errorf("journaler: remove unsynced records: %w", err)
	}
	return nil
}

// Rotate starts a new segment and returns its number.
func (j *Journal) Rotate() (uint64, error) {
	if j.brokenErr != nil {
		return 0, j.brokenErr
	}
	if err := j.startSegment(j.newestNumber + 1); err != nil {
		return 0, err
	}
	return j.newestNumber, nil
}

// DropBefore deletes the segments before the given number, but never the newest one. It starts
// with the oldest, so that a crash in between leaves no gap.
func (j *Journal) DropBefore(number uint64) error {
	numbers, err := j.listSegments()
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= number || n == j.newestNumber {
			break
		}
		if err := os.Remove(j.segmentPath(n)); err != nil {
			return j.markBroken(err)
		}
	}
	if err := SyncFolder(j.Folder); err != nil {
		return j.markBroken(err)
	}
	return nil
}

// Close closes the journal. Later appends return ErrBroken.
func (j *Journal) Close() error {
	j.brokenErr = ErrBroken
	if j.file == nil {
		return nil
	}
	err := j.file.Close()
	j.file = nil
	return err
}

func (j *Journal) markBroken(err error) error {
	j.brokenErr = fmt.Errorf("%w: %w", ErrBroken, err)
	return j.brokenErr
}

// SyncFolder syncs a folder, so that the files created, renamed or removed in it stay so
// after a crash.
func SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// WriteFile atomically replaces a file, with a checksum that ReadFile verifies. After a
// crash the file holds the old or the new content; when WriteFile returns nil, the new
// content is synced.
func WriteFile(path string, content []byte) error {
	tmp := path + ".new"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(appendFrame(nil, content))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(tmp))
	}
	if err := os.Rename(tmp, path); err != nil {
		return err
	}
	return SyncFolder(filepath.Dir(path))
}

// ReadFile returns the content of a file written by WriteFile. The error wraps
// os.ErrNotExist if there is no file and ErrDamaged if its checksum does not match.
func ReadFile(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	payload, size := nextFrame(b)
	if size != len(b) || size == 0 {
		return nil, fmt.Errorf("%w: %s: offset 0", ErrDamaged, path)
	}
	return payload, nil
}

// Lock locks the folder until unlock is called or the process ends. It creates the folder
// if necessary. The error wraps ErrLocked if the folder is locked already.
func Lock(folder string) (unlock func() error, err error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("journaler: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("journaler: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%w: %s", ErrLocked, folder), f.Close())
	}
	return f.Close, nil
}
