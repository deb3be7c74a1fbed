package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pointport/pointport"
)

// This file defines keys and records, and their stored format.

// A State is what is known of a claimed request.
type State string

// The states of a claim.
const (
	InProgress State = "in progress" // the request may be running now
	Ran        State = "ran"         // the request ran, and its status is known
	Unknown    State = "unknown"     // the request may have run
	Released   State = "released"    // the request did not run; the key is free again
)

// keySize is the length of a key's digest, in bytes.
const keySize = 16

// A Key identifies a request that must not run twice. It is a truncated SHA-256.
type Key [keySize]byte

// NewKey returns the Key of a customer's request to a service with the given
// idempotency key.
func NewKey(service, customer, key string) Key {
	h := sha256.New()
	for _, part := range []string{service, customer, key} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// MarshalText encodes the key in unpadded base64url.
func (k Key) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, k[:]), nil
}

// UnmarshalText decodes a key in unpadded base64url. It fails if text is not
// valid, or encodes another number of bytes than a key has.
func (k *Key) UnmarshalText(text []byte) error {
	data, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(data) != keySize {
		return fmt.Errorf("claim key has %d bytes, want %d", len(data), keySize)
	}
	copy(k[:], data)
	return nil
}

// A record is a claim or an outcome in a segment. Its JSON names are short because
// every write to a segment carries all of the segment's records.
type record struct {
	Key Key   `json:"k"`
	At  int64 `json:"t"` // when it was made, in Unix seconds
	// State is empty in a claim; in an outcome it is how the request ended.
	State  State `json:"s,omitempty"`
	Status int   `json:"c,omitempty"` // the HTTP status of the answer, if the request ran
	// Token identifies the write that claimed the key. An outcome carries the
	// token of its claim, so that writing it twice cannot affect a later claim.
	Token string `json:"w"`
}

// segment is the stored form of some of a partition's records.
type segment struct {
	Records []record `json:"r"`
}

// meta is the stored form of the range of a partition's segments. It is a hint
// that saves reads, and may be out of date. Segment First exists or is the next
// to be created, and all segments below Next have been created.
type meta struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// metaKey returns the stored key of the meta of partition p.
func metaKey(p int) string { return fmt.Sprintf("claim.%d", p) }

// segmentKey returns the stored key of segment n of partition p.
func segmentKey(p int, n int64) string { return fmt.Sprintf("claim.%d.%08d", p, n) }

// decode decodes the JSON value of an entry. It returns the zero value if the
// entry does not exist.
func decode[T any](e pointport.Entry) (T, error) {
	var v T
	if !e.Exists() {
		return v, nil
	}
	if err := json.Unmarshal(e.Value(), &v); err != nil {
		return v, fmt.Errorf("%s: %w", e.Key(), err)
	}
	return v, nil
}

// A TakenError is returned for a key that is already claimed.
type TakenError struct {
	State  State     // what is known of the earlier request
	Status int       // the HTTP status of the earlier request's answer, if it ran
	At     time.Time // when the key was claimed
}

func (e *TakenError) Error() string {
	return fmt.Sprintf("the key was claimed at %s: %s", e.At.UTC().Format(time.RFC3339), e.State)
}
