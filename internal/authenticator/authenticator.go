// Package authenticator makes callers' keys and checks them. Only a keyed hash of a key
// is ever stored: its label salts the hash. It does not know which keys exist.
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

// Errors of keys.
var (
	// ErrMissing says that the request presents no key.
	ErrMissing = errors.New("no key presented")
	// ErrUnknown says that the key is malformed, unknown or withdrawn; which of these is
	// not told to callers.
	ErrUnknown = errors.New("key is not valid")
)

// credentialHeaders are never passed on to an upstream or another host.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}

var encoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// Generate makes a new key. The label is safe to print.
func Generate() (key, label string) {
	label = randomText(labelBytes)
	return keyPrefix + "_" + label + "_" + randomText(secretBytes), label
}

func randomText(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails: the runtime aborts instead
	return strings.ToLower(encoding.EncodeToString(b))
}

// Hash returns the hash under which a key is stored.
func Hash(key string) (string, error) {
	prefix, rest, _ := strings.Cut(key, "_")
	label, secret, ok := strings.Cut(rest, "_")
	if prefix != keyPrefix || !ok || label == "" || secret == "" {
		return "", ErrUnknown
	}
	mac := hmac.New(sha256.New, []byte(label))
	mac.Write([]byte(secret))
	return hex.EncodeToString(mac.Sum(nil)), nil
}

// Present returns the key that a request carries.
func Present(h http.Header) (string, error) {
	if scheme, key, ok := strings.Cut(h.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(key), nil
	}
	if key := h.Get("X-Api-Key"); key != "" {
		return key, nil
	}
	return "", ErrMissing
}

// Strip removes every credential of the caller from a header.
func Strip(h http.Header) {
	for _, name := range credentialHeaders {
		h.Del(name)
	}
}

// Keys is where keys are looked up.
type Keys interface {
	Key(hash string) *schema.Key
	Withdrawn(hash string) bool
}

// Check returns the customer that a key belongs to and the key's hash.
func Check(keys Keys, key string) (customer, hash string, err error) {
	hash, err = Hash(key)
	if err != nil {
		return "", "", err
	}
	k := keys.Key(hash)
	if k == nil || subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hash)) != 1 {
		return "", "", ErrUnknown
	}
	if k.Withdrawn || keys.Withdrawn(hash) {
		return "", "", ErrUnknown
	}
	return k.Customer, hash, nil
}
