package customer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// A Digest is the SHA-256 hash of a key. Keys are long random strings, so they cannot be
// recovered from a hash without salt.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// fingerprintBytes is the length of a fingerprint. Four bytes distinguish the keys of some
// thousand customers in a log.
const fingerprintBytes = 4

// Fingerprint returns the first bytes of the digest in hexadecimal, to distinguish keys in
// logs.
func (d Digest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// String returns the fingerprint, so that formatting a digest prints no more of it.
func (d Digest) String() string { return d.Fingerprint() }

// MarshalText returns the whole digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText reads a whole digest in hexadecimal. It returns an error if the length or a
// digit is wrong.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}
