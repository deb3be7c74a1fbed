package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pointport/pointport"
)

// This file defines keys, records and their stored form.

// A State says what is known of a claimed request.
type State string

// The states of a claim.
const (
	InProgress State = "in progress" // it may be running now
	Ran        State = "ran"         // it ran, and its status is known
	Unknown    State = "unknown"     // it may or may not have run
	Released   State = "released"    // it did not run; the key is free again
)

// keySize is the length of a key's digest, in bytes.
const keySize = 16

// A Key identifies a piece of work that may not be repeated.
type Key [keySize]byte

// NewKey returns the key of what a customer asks of a service under its own key.
func NewKey(service, customer, key string) Key {
	h := sha256.New()
	for _, part := range []string{service, customer, key} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// MarshalText writes the key in base64.
func (k Key) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, k[:]), nil
}

// UnmarshalText reads a key in base64.
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

// A record is one line of a segment. Its names are short because every write
// of a segment carries all of its records.
type record struct {
	Key Key   `json:"k"`
	At  int64 `json:"t"` // seconds since 1970
	// State is empty in a claim, and says how it ended in an outcome.
	State  State `json:"s,omitempty"`
	Status int   `json:"c,omitempty"` // the status of the answer, if it ran
	// Token names the write that claimed the key. An outcome carries the token
	// of its claim, so that writing it twice cannot touch a later claim.
	Token string `json:"w"`
}

// segment is the stored form of a part of a partition.
type segment struct {
	Records []record `json:"r"`
}

// meta is the stored form of what is known of a partition's segments. It is a
// hint that saves reads: First exists or is the next to begin.
type meta struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

func metaKey(p int) string { return fmt.Sprintf("claim.%d", p) }

func segmentKey(p int, n int64) string { return fmt.Sprintf("claim.%d.%08d", p, n) }

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

// A TakenError says that a key is claimed already.
type TakenError struct {
	State  State     // what is known of the earlier request
	Status int       // its status, if it ran
	At     time.Time // when it was claimed
}

func (e *TakenError) Error() string {
	return fmt.Sprintf("the key was claimed at %s: %s", e.At.UTC().Format(time.RFC3339), e.State)
}
