package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	frameMagic       = 0x54464c31
	frameHeaderBytes = 12
	// Largest payload of a frame.
	frameLimitBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with payload to b.
func appendFrame(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, frameSum(payload))
	return append(b, payload...)
}

func frameSum(payload []byte) uint32 {
	var n [4]byte
	binary.LittleEndian.PutUint32(n[:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(n[:], castagnoli), castagnoli, payload)
}

// nextFrame returns the payload of the frame that b starts with and the frame's size.
// The size is 0 if b does not start with a whole, undamaged frame.
func nextFrame(b []byte) (payload []byte, size int) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > frameLimitBytes || len(b) < frameHeaderBytes+n {
		return nil, 0
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+n]
	if frameSum(payload) != binary.LittleEndian.Uint32(b[8:]) {
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

// joinParts puts several payloads into one, each after its length.
func joinParts(parts [][]byte) []byte {
	var b []byte
	for _, p := range parts {
		b = binary.AppendUvarint(b, uint64(len(p)))
		b = append(b, p...)
	}
	return b
}

// eachPart calls visit with each payload that joinParts put together.
func eachPart(b []byte, visit func(part []byte) error) error {
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
