package workload

import (
	"encoding/json"
	"fmt"
	"strings"
)

// This file defines the keys under which jobs are in the store.
//
// A job's record says that its identity is taken, by which pool it is kept, and
// how it ended. While the job is open, what was accepted and its progress stand
// under keys of the pool, so that a new owner reads the open jobs alone.

const (
	recordPrefix   = "job/"
	openPrefix     = "open/"
	progressPrefix = "progress/"
	// cancelSuffix marks the key by which a member that cannot reach a pool's
	// owner tells it of a cancellation. It does not occur in identities.
	cancelSuffix = "!cancel"
)

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return recordPrefix + id }

// OpenPrefix starts the keys of what a pool's owner must hear of.
func OpenPrefix(pool string) string { return openPrefix + pool + "/" }

// OpenKey returns the key of an open job as it was accepted.
func OpenKey(pool, id string) string { return OpenPrefix(pool) + id }

// CancelKey returns the key of a cancellation that the owner must hear of.
func CancelKey(pool, id string) string { return OpenKey(pool, id) + cancelSuffix }

// ProgressPrefix starts the keys of the progress of a pool's open jobs.
func ProgressPrefix(pool string) string { return progressPrefix + pool + "/" }

// ProgressKey returns the key of an open job's progress.
func ProgressKey(pool, id string) string { return ProgressPrefix(pool) + id }

// ParseOpenKey returns the job that a key under OpenPrefix is about, and
// whether it is a cancellation.
func ParseOpenKey(pool, key string) (id string, cancel bool) {
	id = strings.TrimPrefix(key, OpenPrefix(pool))
	return strings.CutSuffix(id, cancelSuffix)
}

// A Record is the lasting record of a job. Its fields are exported because a
// codec reads and writes them.
type Record struct {
	Pool  string `json:"pool"`
	Queue string `json:"queue"`
	// Customer is the name of whose the job is, empty if its caller showed no key.
	Customer string `json:"customer,omitempty"`
	// Ended is how the job ended, empty while it is open.
	Ended Status `json:"ended,omitempty"`
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord returns a job's record from its stored form.
func DecodeRecord(id string, data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("stored record of job %s: %w", id, err)
	}
	return r, nil
}
