// Package authenticator generates and checks the keys with which callers authenticate. A key
// consists of a prefix, a label and a secret. Only a hash of it is stored: the HMAC-SHA256 of
// the secret, keyed by the label as a salt. The package does not store keys itself.
package authenticator

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	keyPrefix   = "tk"
	labelBytes  = 5
	secretBytes = 32
)

// Errors of reading and checking a key.
var (
	// ErrNoKey says that the request carries no key.
	ErrNoKey = errors.New("no key presented")
	// ErrInvalidKey says that the key is malformed, unknown or withdrawn. Callers are not told
	// which of these it is.
	ErrInvalidKey = errors.New("key is not valid")
)

// credentialHeaders are the headers that are never forwarded to an upstream or another host.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}

var keyEncoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// Generate returns a new random key and its label, which is not secret and may be printed.
func Generate() (key, label string) {
	label = randomText(labelBytes)
	return keyPrefix + "_" + label + "_" + randomText(secretBytes), label
}

func randomText(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails: the runtime aborts instead
	return strings.ToLower(keyEncoding.EncodeToString(b))
}

// Hash returns the hash, in hexadecimal, under which a key is stored. A malformed key gives
// ErrInvalidKey.
func Hash(key string) (string, error) {
	prefix, rest, _ := strings.Cut(key, "_")
	label, secret, ok := strings.Cut(rest, "_")
	if prefix != keyPrefix || !ok || label == "" || secret == "" {
		return "", ErrInvalidKey
	}
	mac := hmac.New(sha256.New, []byte(label))
	mac.Write([]byte(secret))
	return hex.EncodeToString(mac.Sum(nil)), nil
}

// PresentedKey returns the key that a request's header carries: the bearer token of Authorization,
// else X-Api-Key. Without either it returns ErrNoKey.
func PresentedKey(h http.Header) (string, error) {
	if scheme, key, ok := strings.Cut(h.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(key), nil
	}
	if key := h.Get("X-Api-Key"); key != "" {
		return key, nil
	}
	return "", ErrNoKey
}

// StripCredentials removes all credentials of the caller from a header.
func StripCredentials(h http.Header) {
	for _, name := range credentialHeaders {
		h.Del(name)
	}
}

// KeyLookup looks up keys by their hash. Key returns nil for an unknown hash; Withdrawn reports a
// withdrawal that the key itself may not show yet.
type KeyLookup interface {
	Key(hash string) *schema.Key
	Withdrawn(hash string) bool
}

// Check returns the customer that a key belongs to and the key's hash. A malformed, unknown or
// withdrawn key gives ErrInvalidKey.
func Check(keys KeyLookup, key string) (customer, hash string, err error) {
	hash, err = Hash(key)
	if err != nil {
		return "", "", err
	}
	k := keys.Key(hash)
	if k == nil || subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hash)) != 1 {
		return "", "", ErrInvalidKey
	}
	if k.Withdrawn || keys.Withdrawn(hash) {
		return "", "", ErrInvalidKey
	}
	return k.Customer, hash, nil
}
