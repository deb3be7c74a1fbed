package workload_test

import (
	"encoding/json"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/pointport/pointport/workload"
)

// jobWithTasks returns a job of one step whose first occurrence has begun.
func jobWithTasks(count int) *workload.Job {
	spec := &workload.Spec{Steps: []workload.Step{{Count: count}}}
	j := workload.New("00112233445566aa", "q", workload.Policy{MaxAttempts: 3}, spec, time.Unix(1000, 0).UTC())
	j.BeginDue(time.Unix(1000, 0))
	return j
}

// Progress that an earlier version stored with strings quoted as Go literals must be read. Otherwise
// the job stands still under every owner: none of its tasks starts, and it is shown as running. What
// is read is stored as JSON from then on, which the earlier version reads as well.
//
// testdata/progress-go-quoted.json was written by that version; its checkpoints have characters that
// Go and JSON escape in different ways, or alike, or not at all.
func TestProgressWithGoLiteralsIsRead(t *testing.T) {
	stored, err := os.ReadFile("testdata/progress-go-quoted.json")
	if err != nil {
		t.Fatal(err)
	}
	j := jobWithTasks(10)
	if err := j.RestoreProgress(stored); err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "progress-go-quoted", j.EncodeProgress())
}

// The same for any text as checkpoint and addressee. Text that is JSON already must not be taken for
// Go literals: what both can read means the same in both.
func TestAnyGoLiteralInProgressIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		on, checkpoint := "i"+drawText(t, "addressee"), drawText(t, "checkpoint")
		quote := rapid.SampledFrom([]func(string) string{strconv.Quote, quoteJSON}).Draw(t, "quote")
		j := jobWithTasks(1)
		if err := j.RestoreProgress([]byte(`{"n":1,"k":[{"k":0,"s":[[[1,2,0,` + quote(on) + `,` + quote(checkpoint) + `]]]}]}`)); err != nil {
			t.Fatal(err)
		}
		task := j.Task(workload.TaskRef{})
		if string(task.On) != on || task.Checkpoint != checkpoint {
			t.Errorf("the task is on %q with the checkpoint %q, want %q and %q", task.On, task.Checkpoint, on, checkpoint)
		}
		if !json.Valid(j.EncodeProgress()) {
			t.Errorf("the progress is stored as %s, which is no JSON", j.EncodeProgress())
		}
	})
}

func quoteJSON(s string) string {
	quoted, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(quoted)
}

// Progress that is neither JSON nor has Go literals in its place must be refused with the first
// error, which says where it stops being JSON.
func TestDamagedProgressIsRefused(t *testing.T) {
	for _, stored := range []string{`{"n":1,"k":[{"k":0,"s":[[[1,2,0,"i`, `{"n":1,"k":[{"k":0,"s":[[[1,2,0,"\q"]]]}]}`, `"\x1f"`, `\x1f`, `{"n":"\x1f"}`} {
		if err := jobWithTasks(1).RestoreProgress([]byte(stored)); err == nil {
			t.Errorf("%s was read as progress", stored)
		}
	}
}

// BenchmarkEncodeProgress measures how long it takes to encode the progress of a job of 13 placed
// tasks, which have plain checkpoints.
func BenchmarkEncodeProgress(b *testing.B) {
	const tasks = 13
	j := jobWithTasks(tasks)
	for n := range tasks {
		ref := workload.TaskRef{Index: n}
		j.Place(ref, "i-00002-01", 1)
		j.Task(ref).Checkpoint = "00000bb87a21d94b"
	}
	for b.Loop() {
		j.EncodeProgress()
	}
}
