package distributor

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Size in bytes from which an update is packed: smaller ones cost little to encode for each follower.
	minPackedBytes = 32 << 10
	// Maximum size in bytes of an update that is unpacked.
	maxUnpackedBytes = 64 << 20
	// Maximum number of packed updates that are kept.
	maxPacked = 16
)

// ErrBadPack says that a packed update cannot be read.
var ErrBadPack = errors.New("distributor: packed update cannot be read")

// packKey identifies an update: from one version to another, or the whole configuration of the latter.
type packKey struct {
	from, to uint64
	whole    bool
}

// packer keeps packed updates, so that one that many followers need is packed once. With hundreds of them the
// processor time to encode it for each exceeds what a host has in the time that a follower waits.
type packer struct {
	mu     sync.Mutex
	packed map[packKey][]byte // guarded by mu
	packs  int                // number of updates packed so far; guarded by mu
}

// pack returns an update packed; nil if it is small. Concurrent calls wait for the first one.
func (p *packer) pack(key packKey, update *schema.ConfigUpdate) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.packed[key]; b != nil {
		return b, nil
	}
	if proto.Size(update) < minPackedBytes {
		return nil, nil
	}
	b, err := compress(update)
	if err != nil {
		return nil, err
	}
	p.packs++
	if p.packed == nil || len(p.packed) >= maxPacked {
		p.packed = map[packKey][]byte{}
	}
	p.packed[key] = b
	return b, nil
}

func compress(update *schema.ConfigUpdate) ([]byte, error) {
	raw, err := proto.Marshal(update)
	if err != nil {
		return nil, fmt.Errorf("distributor: encoding an update: %w", err)
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// PackedUpdateFor returns what a follower at a version and hash needs to be up to date: packed if it is large,
// else as it is; nil if it needs nothing.
func (d *Distributor) PackedUpdateFor(version uint64, hash []byte) (packed []byte, plain *schema.ConfigUpdate, err error) {
	snapshot, deltas := d.UpdateFor(version, hash)
	update := &schema.ConfigUpdate{Snapshot: snapshot, Deltas: deltas}
	key := packKey{from: version}
	switch {
	case snapshot != nil:
		key = packKey{to: snapshot.Version, whole: true}
	case len(deltas) > 0:
		key.to = deltas[len(deltas)-1].Version
	default:
		return nil, nil, nil
	}
	if packed, err = d.packer.pack(key, update); packed != nil || err != nil {
		return packed, nil, err
	}
	return nil, update, nil
}

// Unpack reads a packed update.
func Unpack(packed []byte) (*schema.ConfigUpdate, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadPack, err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadPack, err)
	}
	if len(raw) > maxUnpackedBytes {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrBadPack, maxUnpackedBytes)
	}
	update := &schema.ConfigUpdate{}
	if err := proto.Unmarshal(raw, update); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadPack, err)
	}
	return update, nil
}
