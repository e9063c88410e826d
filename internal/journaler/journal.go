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

	"github.com/trefoilloft/trefoilloft/internal/prober"
)

const (
	segmentSuffix       = ".seg"
	defaultSegmentBytes = 4 << 20
	folderMode          = 0o750
	fileMode            = 0o640
)

// Errors of journals and folders.
var (
	// ErrDamaged says that a file holds damage that no crash explains.
	ErrDamaged = errors.New("journaler: damaged file")
	// ErrBroken says that an earlier write or sync failed.
	ErrBroken = errors.New("journaler: an earlier write failed")
	// ErrLocked says that another process uses the folder.
	ErrLocked = errors.New("journaler: folder is in use")
)

// Journal is a sequence of frames in the segment files of one folder. Set the exported
// fields, then call Open. It is not safe for concurrent use.
type Journal struct {
	Folder string
	// SegmentBytes is the size after which a new segment is begun.
	SegmentBytes int64
	Points       *prober.Points

	file   *os.File
	number uint64 // of the newest segment
	size   int64
	broken error
}

// Open reads every frame in order, then makes the journal ready to append. The payload
// given to replay is only valid during the call.
func (j *Journal) Open(replay func(segment uint64, payload []byte) error) error {
	if j.SegmentBytes == 0 {
		j.SegmentBytes = defaultSegmentBytes
	}
	if err := os.MkdirAll(j.Folder, folderMode); err != nil {
		return fmt.Errorf("journaler: %w", err)
	}
	numbers, err := j.segments()
	if err != nil {
		return err
	}
	for i, n := range numbers {
		if err := j.read(n, i == len(numbers)-1, replay); err != nil {
			return err
		}
		j.number = n
	}
	if len(numbers) == 0 {
		return j.begin(1)
	}
	return j.reopen()
}

func (j *Journal) path(number uint64) string {
	return filepath.Join(j.Folder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

func (j *Journal) segments() ([]uint64, error) {
	names, err := os.ReadDir(j.Folder)
	if err != nil {
		return nil, fmt.Errorf("journaler: %w", err)
	}
	var numbers []uint64
	for _, e := range names {
		base, ok := strings.CutSuffix(e.Name(), segmentSuffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(base, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("%w: %s: not a segment name", ErrDamaged, e.Name())
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for i := 1; i < len(numbers); i++ {
		if numbers[i] != numbers[i-1]+1 {
			return nil, fmt.Errorf("%w: %s: segment is missing", ErrDamaged, j.path(numbers[i-1]+1))
		}
	}
	return numbers, nil
}

func (j *Journal) read(number uint64, newest bool, replay func(uint64, []byte) error) error {
	path := j.path(number)
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("journaler: %w", err)
	}
	offset := 0
	for offset < len(b) {
		payload, size := nextFrame(b[offset:])
		if size == 0 {
			return j.dropTail(path, b, offset, newest)
		}
		err := eachPart(payload, func(part []byte) error { return replay(number, part) })
		if err != nil {
			return fmt.Errorf("%s: offset %d: %w", path, offset, err)
		}
		offset += size
	}
	return nil
}

// dropTail cuts off a frame that a crash left half written.
func (j *Journal) dropTail(path string, b []byte, offset int, newest bool) error {
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

func (j *Journal) begin(number uint64) error {
	f, err := os.OpenFile(j.path(number), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return j.fail(err)
	}
	if err := SyncFolder(j.Folder); err != nil {
		return j.fail(errors.Join(err, f.Close()))
	}
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return j.fail(errors.Join(err, f.Close()))
		}
	}
	j.file, j.number, j.size = f, number, 0
	return nil
}

func (j *Journal) reopen() error {
	f, err := os.OpenFile(j.path(j.number), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return j.fail(err)
	}
	info, err := f.Stat()
	if err != nil {
		return j.fail(errors.Join(err, f.Close()))
	}
	j.file, j.size = f, info.Size()
	return nil
}

// Append writes the payloads as one frame and syncs it: after a crash either all of them
// are read back or none. Once it has returned an error the journal takes no more frames.
func (j *Journal) Append(payloads ...[]byte) error {
	if j.broken != nil {
		return j.broken
	}
	if j.size >= j.SegmentBytes {
		if err := j.begin(j.number + 1); err != nil {
			return err
		}
	}
	b := appendFrame(nil, joinParts(payloads))
	if err := j.Points.Hit("journal.write"); err != nil {
		return j.fail(err)
	}
	if _, err := j.file.Write(b); err != nil {
		return j.fail(err)
	}
	j.size += int64(len(b))
	if err := j.Points.Hit("journal.sync"); err != nil {
		return j.fail(err)
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(err)
	}
	return nil
}

// Rotate begins a new segment and returns its number.
func (j *Journal) Rotate() (uint64, error) {
	if j.broken != nil {
		return 0, j.broken
	}
	if err := j.begin(j.number + 1); err != nil {
		return 0, err
	}
	return j.number, nil
}

// Drop removes the segments before number, oldest first, so that a crash in between
// leaves no gap.
func (j *Journal) Drop(number uint64) error {
	numbers, err := j.segments()
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= number || n == j.number {
			break
		}
		if err := os.Remove(j.path(n)); err != nil {
			return j.fail(err)
		}
	}
	if err := SyncFolder(j.Folder); err != nil {
		return j.fail(err)
	}
	return nil
}

// Close closes the newest segment.
func (j *Journal) Close() error {
	j.broken = ErrBroken
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

func (j *Journal) fail(err error) error {
	j.broken = fmt.Errorf("%w: %w", ErrBroken, err)
	return j.broken
}

// SyncFolder makes the names in a folder durable.
func SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// WriteFile replaces a file so that after a crash it holds either the old or the new
// content, and is synced when WriteFile returns.
func WriteFile(path string, content []byte) error {
	tmp := path + ".new"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(appendFrame(nil, content))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(tmp, path); err != nil {
		return err
	}
	return SyncFolder(filepath.Dir(path))
}

// ReadFile reads a file written by WriteFile. A missing file gives os.ErrNotExist.
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

// Lock takes the folder for this process until the returned function is called or the
// process ends.
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
