package persister

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// IdentityFile is the name of the file that holds a folder's identity.
const IdentityFile = "identity"

const (
	formatVersion = 1
	snapshotFile  = "snapshot"
	logFolder     = "log"
)

// Frame kinds: the first byte of each payload.
const (
	frameBallot byte = iota + 1
	frameEntry
)

// Errors of the store.
var (
	// ErrNoIdentity says that the folder was never set up, or its disk was lost.
	ErrNoIdentity = errors.New("persister: the data folder has no identity")
	// ErrIdentity says that the folder already has an identity.
	ErrIdentity = errors.New("persister: the data folder already has an identity")
	// ErrFormat says that another version of the program wrote the folder.
	ErrFormat = errors.New("persister: unknown format version")
)

// Store is one replica's disk. Set the exported fields, then call Open.
type Store struct {
	Folder string
	Points *prober.Points

	journal journaler.Journal
	unlock  func() error
	// index of the last entry that the snapshot on disk covers
	covered uint64
}

// InitialID returns the identity of a first member. A replica that lost its disk never
// gets it again: it is set up with NewID.
func InitialID(name string) uint64 {
	var h uint64 = 14695981039346656037
	for _, c := range []byte(name) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h | 1
}

// NewID returns an identity that no replica had before.
func NewID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails: the runtime aborts instead
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// Init sets up an empty folder for a replica.
func Init(folder string, identity *schema.Identity) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return fmt.Errorf("persister: %w", err)
	}
	path := filepath.Join(folder, IdentityFile)
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%w: %s", ErrIdentity, folder)
	}
	identity.Format = formatVersion
	b, err := proto.Marshal(identity)
	if err != nil {
		return fmt.Errorf("persister: %w", err)
	}
	return journaler.WriteFile(path, b)
}

// Open locks the folder and reads what it holds.
func (s *Store) Open() (*schema.Identity, replicator.Stored, error) {
	var none replicator.Stored
	unlock, err := journaler.Lock(s.Folder)
	if err != nil {
		return nil, none, err
	}
	s.unlock = unlock
	identity, err := s.readIdentity()
	if err != nil {
		return nil, none, errors.Join(err, unlock())
	}
	stored, err := s.readState(identity)
	if err != nil {
		return nil, none, errors.Join(err, unlock())
	}
	return identity, stored, nil
}

func (s *Store) readIdentity() (*schema.Identity, error) {
	b, err := journaler.ReadFile(filepath.Join(s.Folder, IdentityFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%w: %s", ErrNoIdentity, s.Folder)
	}
	if err != nil {
		return nil, err
	}
	identity := &schema.Identity{}
	if err := proto.Unmarshal(b, identity); err != nil {
		return nil, fmt.Errorf("persister: identity: %w", err)
	}
	if identity.Format != formatVersion {
		return nil, fmt.Errorf("%w: %s: %d", ErrFormat, s.Folder, identity.Format)
	}
	return identity, nil
}

func (s *Store) readState(identity *schema.Identity) (replicator.Stored, error) {
	stored := replicator.Stored{Snapshot: &schema.LogSnapshot{Members: &schema.Members{Members: identity.Members, Target: identity.Target}}}
	b, err := journaler.ReadFile(filepath.Join(s.Folder, snapshotFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return stored, err
	}
	if err == nil {
		stored.Snapshot = &schema.LogSnapshot{}
		if err := proto.Unmarshal(b, stored.Snapshot); err != nil {
			return stored, fmt.Errorf("persister: snapshot: %w", err)
		}
	}
	s.covered = stored.Snapshot.Index
	s.journal = journaler.Journal{Folder: filepath.Join(s.Folder, logFolder), Points: s.Points}
	err = s.journal.Open(func(_ uint64, payload []byte) error { return replay(&stored, payload) })
	return stored, err
}

// replay adds one frame to what was read so far.
func replay(stored *replicator.Stored, payload []byte) error {
	if len(payload) == 0 {
		return fmt.Errorf("%w: empty frame", journaler.ErrDamaged)
	}
	switch payload[0] {
	case frameBallot:
		stored.Ballot = &schema.Ballot{}
		return proto.Unmarshal(payload[1:], stored.Ballot)
	case frameEntry:
		e := &schema.Entry{}
		if err := proto.Unmarshal(payload[1:], e); err != nil {
			return err
		}
		return replayEntry(stored, e)
	default:
		return fmt.Errorf("%w: frame kind %d", journaler.ErrDamaged, payload[0])
	}
}

func replayEntry(stored *replicator.Stored, e *schema.Entry) error {
	base := stored.Snapshot.Index
	if e.Index <= base {
		return nil
	}
	at := int(e.Index - base - 1)
	if at > len(stored.Entries) {
		return fmt.Errorf("%w: entry %d follows %d", journaler.ErrDamaged, e.Index, base+uint64(len(stored.Entries)))
	}
	stored.Entries = append(stored.Entries[:at], e)
	return nil
}

// Save syncs a ballot (nil: unchanged) and entries, which replace any at or after the
// first one's index.
func (s *Store) Save(ballot *schema.Ballot, entries []*schema.Entry) error {
	var payloads [][]byte
	if ballot != nil {
		b, err := proto.MarshalOptions{}.MarshalAppend([]byte{frameBallot}, ballot)
		if err != nil {
			return fmt.Errorf("persister: %w", err)
		}
		payloads = append(payloads, b)
	}
	for _, e := range entries {
		b, err := proto.MarshalOptions{}.MarshalAppend([]byte{frameEntry}, e)
		if err != nil {
			return fmt.Errorf("persister: %w", err)
		}
		payloads = append(payloads, b)
	}
	if len(payloads) == 0 {
		return nil
	}
	return s.journal.Append(payloads...)
}

// SaveSnapshot syncs a snapshot and drops the segments before it. The ballot and the
// entries after the snapshot are written again, so that dropped segments held nothing else.
func (s *Store) SaveSnapshot(snapshot *schema.LogSnapshot, ballot *schema.Ballot, rest []*schema.Entry) error {
	b, err := proto.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("persister: %w", err)
	}
	if err := s.Points.Hit("snapshot.write"); err != nil {
		return err
	}
	if err := journaler.WriteFile(filepath.Join(s.Folder, snapshotFile), b); err != nil {
		return fmt.Errorf("persister: snapshot: %w", err)
	}
	s.covered = snapshot.Index
	if err := s.Points.Hit("snapshot.rotate"); err != nil {
		return err
	}
	number, err := s.journal.Rotate()
	if err != nil {
		return err
	}
	if err := s.Save(ballot, rest); err != nil {
		return err
	}
	if err := s.Points.Hit("snapshot.drop"); err != nil {
		return err
	}
	return s.journal.Drop(number)
}

// Close releases the folder.
func (s *Store) Close() error {
	return errors.Join(s.journal.Close(), s.unlock())
}
