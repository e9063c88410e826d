// Package quarantiner finds requests, and parts of prompts, that crash upstreams, and names the
// requests that must not be sent because they are such a request or have such a part. Below, part
// means either: a whole request is the part that only its repeats have in common.
//
// An entry host's Observer relates the unannounced end of an upstream to the requests that it had
// just begun to answer, or was about to: their parts are suspects. A part that an upstream survives
// is cleared. Control hosts collect these findings in an Evidence, whose leader decides. A part is
// quarantined after several ends, at intervals, that no upstream survived in between, if no other
// part explains them. If several explain the same ends, one that upstreams are known to have survived before
// is not at fault; of the rest, only requests that have all of them are refused, until an upstream survives
// one or ends under some only. Upstreams that end together for another cause thus accuse no part. A whole
// request that no upstream is known to have survived needs a shorter interval: many requests share a
// part of a prompt, but hardly one that was never answered is at three upstreams when they end.
//
// Requests that are refused cannot show that a quarantine is a mistake. So the leader grants a few trials of
// each quarantined part, one request at one host, which ends the quarantine if an upstream survives it.
//
// A leader of an earlier version chooses by chance between parts with the same ends. An entry host at
// which upstreams survived the quarantined one before refuses only requests that also have a part which explains the ends
// that this host observed, and reports what upstreams survive.
//
// The decisions stand in a Register on each host. Registers are merged in both directions, so a
// decision survives the loss of the leader and restarts. Everything is bounded in size and time.
//
// The package sends nothing itself and does not know what a request is.
package quarantiner

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// PartKey returns the hash by which hosts name the part of a prompt.
func PartKey(id string) uint64 { return xxhash.Sum64String(id) &^ requestBit }

// AppendKey appends a part's hash to b, most significant byte first.
func AppendKey(b []byte, part uint64) []byte { return binary.BigEndian.AppendUint64(b, part) }

// KeyNames returns the names of parts in logs.
func KeyNames(parts []uint64) []string {
	var names []string
	for _, part := range parts {
		names = append(names, hex.EncodeToString(AppendKey(nil, part)))
	}
	return names
}

// requestBit is set in the keys of whole requests and not in those of parts of prompts.
const requestBit = 1 << 63

// RequestKey returns the hash by which hosts name a whole request: those with the same path, customer
// and body are the same one, whatever their IDs and headers.
func RequestKey(path, customer string, body []byte) uint64 {
	d := xxhash.New()
	for _, field := range [][]byte{[]byte(path), []byte(customer), body} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // never fails
		_, _ = d.Write(field)
	}
	return d.Sum64() | requestBit
}

// isRequest reports whether a key names a whole request.
func isRequest(key uint64) bool { return key&requestBit != 0 }
