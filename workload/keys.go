package workload

import (
	"encoding/json"
	"fmt"
	"strings"
)

// This file defines the keys of jobs in the store.
//
// A job's record shows that its ID is taken, which pool has it, and how it ended.
// While the job is open, the accepted job and its progress are stored under keys of
// the pool, so that a new owner reads only the open jobs.

const (
	recordPrefix   = "job/"
	openPrefix     = "open/"
	progressPrefix = "progress/"
	// cancelSuffix ends the key with which a member that cannot reach a pool's owner
	// requests the cancellation of a job. It does not occur in job IDs.
	cancelSuffix = "!cancel"
)

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return recordPrefix + id }

// OpenPrefix returns the prefix of the keys that a pool's owner watches: open jobs and
// cancellations.
func OpenPrefix(pool string) string { return openPrefix + pool + "/" }

// OpenKey returns the key of an open job in its accepted form.
func OpenKey(pool, id string) string { return OpenPrefix(pool) + id }

// CancelKey returns the key of a request to the owner to cancel a job.
func CancelKey(pool, id string) string { return OpenKey(pool, id) + cancelSuffix }

// ProgressPrefix returns the prefix of the keys of the progress of a pool's open jobs.
func ProgressPrefix(pool string) string { return progressPrefix + pool + "/" }

// ProgressKey returns the key of an open job's progress.
func ProgressKey(pool, id string) string { return ProgressPrefix(pool) + id }

// ParseOpenKey returns the ID of the job to which a key under OpenPrefix belongs, and
// whether the key requests its cancellation.
func ParseOpenKey(pool, key string) (id string, cancel bool) {
	id = strings.TrimPrefix(key, OpenPrefix(pool))
	return strings.CutSuffix(id, cancelSuffix)
}

// A Record is the permanent record of a job. Its fields are exported because a
// codec reads and writes them.
type Record struct {
	Pool  string `json:"pool"`
	Queue string `json:"queue"`
	// Customer is the name of the job's customer, empty if its caller gave no API key.
	Customer string `json:"customer,omitempty"`
	// Ended is the final status of the job, empty while it is open.
	Ended Status `json:"ended,omitempty"`
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes the stored form of a job's record.
func DecodeRecord(id string, data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("stored record of job %s: %w", id, err)
	}
	return r, nil
}
