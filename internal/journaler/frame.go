package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	frameMagic       = 0x54464c31
	frameHeaderBytes = 12
	// Maximum size of a frame's payload when it is read back.
	maxPayloadBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with payload to b.
func appendFrame(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, frameChecksum(payload))
	return append(b, payload...)
}

func frameChecksum(payload []byte) uint32 {
	var n [4]byte
	binary.LittleEndian.PutUint32(n[:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(n[:], castagnoli), castagnoli, payload)
}

// nextFrame returns the payload of the frame at the start of b and the size of the frame in
// bytes. The size is 0 if b does not start with a complete, undamaged frame.
func nextFrame(b []byte) (payload []byte, size int) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxPayloadBytes || len(b) < frameHeaderBytes+n {
		return nil, 0
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+n]
	if frameChecksum(payload) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0
	}
	return payload, frameHeaderBytes + n
}

// holdsFrame reports whether an undamaged frame starts anywhere after the first byte of b.
func holdsFrame(b []byte) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for len(b) > 1 {
		i := bytes.Index(b[1:], magic[:])
		if i < 0 {
			return false
		}
		b = b[1+i:]
		if _, size := nextFrame(b); size > 0 {
			return true
		}
	}
	return false
}

// joinRecords encodes records into the payload of one frame, each prefixed by its length.
func joinRecords(records [][]byte) []byte {
	var b []byte
	for _, record := range records {
		b = binary.AppendUvarint(b, uint64(len(record)))
		b = append(b, record...)
	}
	return b
}

// forEachRecord calls visit with each record of a payload made by joinRecords, until visit
// returns an error. The error is ErrDamaged if a length exceeds the payload.
func forEachRecord(b []byte, visit func(record []byte) error) error {
	for len(b) > 0 {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > uint64(len(b)-size) {
			return ErrDamaged
		}
		if err := visit(b[size : size+int(n)]); err != nil {
			return err
		}
		b = b[size+int(n):]
	}
	return nil
}
