package customer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// This file defines what is kept of a key.

// A Digest stands for a key: its SHA-256. Keys are long random texts, so a digest without
// a salt cannot be turned back.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// fingerprintBytes is how much of a digest is shown: enough to tell the keys of some
// thousand customers apart in a log.
const fingerprintBytes = 4

// Fingerprint returns a short text by which a key can be told from others.
func (d Digest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// String returns the fingerprint, so that no format prints more.
func (d Digest) String() string { return d.Fingerprint() }

// MarshalText returns the whole digest in hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText reads a whole digest.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}
