package persister

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/injector"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// IdentityFile is the name of the file in a data folder that holds the replica's identity.
const IdentityFile = "identity"

const (
	formatVersion = 1
	snapshotFile  = "snapshot"
	logFolder     = "log"
)

// Kinds of journal records: the first byte of each record.
const (
	recordHardState byte = iota + 1
	recordEntry
)

// Errors of Init and Open.
var (
	// ErrNoIdentity reports that the folder was never initialized, or its disk was lost.
	ErrNoIdentity = errors.New("persister: the data folder has no identity")
	// ErrIdentityExists reports that the folder is initialized already.
	ErrIdentityExists = errors.New("persister: the data folder already has an identity")
	// ErrUnknownFormat reports that the folder was written in another format version, by
	// another version of the program.
	ErrUnknownFormat = errors.New("persister: unknown format version of the data folder")
)

// Store is the persistent storage of one replica. Set the exported fields, then call Open.
type Store struct {
	Folder      string
	FaultPoints *injector.FaultPoints

	journal journaler.Journal
	unlock  func() error
	// snapshotIndex is the index of the last entry that the snapshot on disk covers.
	snapshotIndex uint64
}

// InitialID derives the ID of an initial member from its name, by an FNV-1a hash that is
// never 0. A replica that lost its disk must not get that ID again: use NewID.
func InitialID(name string) uint64 {
	var h uint64 = 14695981039346656037
	for _, c := range []byte(name) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h | 1
}

// NewID returns a random ID, never 0, for a replica that is not an initial member or lost
// its disk. No replica had it before.
func NewID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails: the runtime aborts instead
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// Init initializes a folder with a replica's identity, whose Format it sets. The error
// wraps ErrIdentityExists if the folder has an identity.
func Init(folder string, identity *schema.Identity) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return fmt.Errorf("persister: create data folder: %w", err)
	}
	path := filepath.Join(folder, IdentityFile)
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%w: %s", ErrIdentityExists, folder)
	}
	identity.Format = formatVersion
	b, err := proto.Marshal(identity)
	if err != nil {
		return fmt.Errorf("persister: encode identity: %w", err)
	}
	return journaler.WriteFile(path, b)
}

// Open locks the folder and reads the identity and the state to start the replicator with.
// The error may wrap ErrNoIdentity, ErrUnknownFormat, journaler.ErrDamaged or
// journaler.ErrLocked.
func (s *Store) Open() (*schema.Identity, replicator.StoredState, error) {
	var noState replicator.StoredState
	unlock, err := journaler.Lock(s.Folder)
	if err != nil {
		return nil, noState, err
	}
	s.unlock = unlock
	identity, err := s.readIdentity()
	if err != nil {
		return nil, noState, errors.Join(err, s.Close())
	}
	stored, err := s.readState(identity)
	if err != nil {
		return nil, noState, errors.Join(err, s.Close())
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
		return nil, fmt.Errorf("persister: decode identity: %w", err)
	}
	if identity.Format != formatVersion {
		return nil, fmt.Errorf("%w: %s: %d", ErrUnknownFormat, s.Folder, identity.Format)
	}
	return identity, nil
}

func (s *Store) readState(identity *schema.Identity) (replicator.StoredState, error) {
	stored := replicator.StoredState{Snapshot: &schema.LogSnapshot{Members: &schema.Members{Members: identity.Members, Target: identity.Target}}}
	b, err := journaler.ReadFile(filepath.Join(s.Folder, snapshotFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return stored, err
	}
	if err == nil {
		stored.Snapshot = &schema.LogSnapshot{}
		if err := proto.Unmarshal(b, stored.Snapshot); err != nil {
			return stored, fmt.Errorf("persister: decode snapshot: %w", err)
		}
	}
	s.snapshotIndex = stored.Snapshot.Index
	s.journal = journaler.Journal{Folder: filepath.Join(s.Folder, logFolder), FaultPoints: s.FaultPoints}
	err = s.journal.Open(func(_ uint64, record []byte) error { return replayRecord(&stored, record) })
	return stored, err
}

// replayRecord adds one journal record to the state read so far.
func replayRecord(stored *replicator.StoredState, record []byte) error {
	if len(record) == 0 {
		return fmt.Errorf("%w: empty record", journaler.ErrDamaged)
	}
	switch record[0] {
	case recordHardState:
		stored.HardState = &schema.Ballot{}
		return proto.Unmarshal(record[1:], stored.HardState)
	case recordEntry:
		e := &schema.Entry{}
		if err := proto.Unmarshal(record[1:], e); err != nil {
			return err
		}
		return replayEntry(stored, e)
	default:
		return fmt.Errorf("%w: unknown record kind %d", journaler.ErrDamaged, record[0])
	}
}

func replayEntry(stored *replicator.StoredState, e *schema.Entry) error {
	snapshotIndex := stored.Snapshot.Index
	if e.Index <= snapshotIndex {
		return nil
	}
	position := e.Index - snapshotIndex - 1
	if position > uint64(len(stored.Entries)) {
		return fmt.Errorf("%w: log entry %d follows entry %d", journaler.ErrDamaged, e.Index, snapshotIndex+uint64(len(stored.Entries)))
	}
	stored.Entries = append(stored.Entries[:position], e)
	return nil
}

// Save syncs the hard state (nil: unchanged) and entries, which replace any entry at or
// after the index of the first one.
func (s *Store) Save(hardState *schema.Ballot, entries []*schema.Entry) error {
	var records [][]byte
	if hardState != nil {
		b, err := proto.MarshalOptions{}.MarshalAppend([]byte{recordHardState}, hardState)
		if err != nil {
			return fmt.Errorf("persister: encode hard state: %w", err)
		}
		records = append(records, b)
	}
	for _, e := range entries {
		b, err := entryRecord(e)
		if err != nil {
			return err
		}
		records = append(records, b)
	}
	if len(records) == 0 {
		return nil
	}
	return s.journal.Append(records...)
}

func entryRecord(e *schema.Entry) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{recordEntry}, e)
	if err != nil {
		return nil, fmt.Errorf("persister: encode log entry: %w", err)
	}
	return b, nil
}

// SaveSnapshot syncs a snapshot and drops the journal segments before it. The hard state
// (nil: none) and the entries after the snapshot are first written to a new segment, since
// the dropped segments held them too.
func (s *Store) SaveSnapshot(snapshot *schema.LogSnapshot, hardState *schema.Ballot, entries []*schema.Entry) error {
	b, err := proto.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("persister: encode snapshot: %w", err)
	}
	if err := s.FaultPoints.Hit("snapshot.write"); err != nil {
		return err
	}
	if err := journaler.WriteFile(filepath.Join(s.Folder, snapshotFile), b); err != nil {
		return fmt.Errorf("persister: write snapshot: %w", err)
	}
	s.snapshotIndex = snapshot.Index
	if err := s.FaultPoints.Hit("snapshot.rotate"); err != nil {
		return err
	}
	segment, err := s.journal.Rotate()
	if err != nil {
		return err
	}
	if err := s.Save(hardState, entries); err != nil {
		return err
	}
	if err := s.FaultPoints.Hit("snapshot.drop"); err != nil {
		return err
	}
	return s.journal.DropBefore(segment)
}

// probeBytes is the size of the file that Reopen writes to see whether the disk accepts writes.
const probeBytes = 64 << 10

// Reopen opens the store again after a write or sync failed, without what was not synced. It fails
// while the disk does not accept writes, and may then be called again.
func (s *Store) Reopen() (*schema.Identity, replicator.StoredState, error) {
	if err := s.probe(); err != nil {
		return nil, replicator.StoredState{}, err
	}
	if err := s.journal.DropUnsynced(); err != nil {
		return nil, replicator.StoredState{}, err
	}
	if err := s.Close(); err != nil {
		return nil, replicator.StoredState{}, err
	}
	return s.Open()
}

func (s *Store) probe() error {
	if err := s.FaultPoints.Hit("store.probe"); err != nil {
		return err
	}
	path := filepath.Join(s.Folder, "probe")
	if err := journaler.WriteFile(path, make([]byte, probeBytes)); err != nil {
		return fmt.Errorf("persister: write a probe file: %w", err)
	}
	return os.Remove(path)
}

// Close closes the journal and unlocks the folder. Further calls do nothing.
func (s *Store) Close() error {
	err := s.journal.Close()
	if s.unlock != nil {
		err = errors.Join(err, s.unlock())
		s.unlock = nil
	}
	return err
}
