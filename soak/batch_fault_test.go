package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/workload"
)

// This file defines the ends of owners within their batches, while many jobs are cancelled together.

const (
	// maxBatchTransaction is the last transaction of a new owner that it may end with.
	maxBatchTransaction = 6
	// batchWatchTime is how long a new owner is watched for its transactions.
	batchWatchTime = 4 * time.Second
)

// endOwnersWithinBatches does the following again and again until ctx ends: it submits a burst of jobs
// to a pool, kills the pool's owner, cancels most of the burst while there is no owner, and ends the
// next owner with one of its first transactions, by a kill or a planned stop.
func (s *soak) endOwnersWithinBatches(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(500+r.IntN(1500))*time.Millisecond)
		queue := s.queues[r.IntN(len(s.queues))]
		burst := s.submitBurst(r, queue)
		first := s.owner(queue.Pool)
		if first == nil {
			s.cancelTogether(r, burst)
			continue
		}
		transaction, signal := 1+r.IntN(maxBatchTransaction), []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[r.IntN(2)]
		down := time.Duration(300+r.IntN(2000)) * time.Millisecond
		s.record("owner %s of %s killed, %d jobs cancelled, next owner gets signal %v with transaction %d", first.name, queue.Pool, len(burst), signal, transaction)
		first.noteDisturbance()
		first.signal(syscall.SIGKILL, down)
		ended := s.endOwnerAtTransaction(queue.Pool, first, transaction, signal, down)
		s.cancelTogether(r, burst)
		select {
		case <-ended:
		case <-time.After(batchWatchTime):
		}
		s.grid.SetCommitObserver(nil)
	}
}

// submitBurst submits more jobs at once than a pool has room for, at random entries, and returns all
// but the few that are to run. The others must be cancelled, also after the last fault: a burst is more
// work than a fleet that has just been troubled can do within settleTime.
func (s *soak) submitBurst(r *rand.Rand, queue *workload.Queue) []*submission {
	const size, kept = 40, 4
	var burst []*submission
	var all sync.WaitGroup
	for range size {
		spec := &workload.Spec{Payload: "soak", Steps: []workload.Step{{Count: 1, Need: pointport.Shape{CPUMilli: 1500, MemoryMiB: 64}, Estimate: time.Second, Checkpoints: true}}}
		t := &submission{id: fmt.Sprintf("%016x", r.Uint64()), customer: uncappedCustomer, queue: queue, spec: spec}
		c := &customer{name: t.customer, soak: s, random: rand.New(rand.NewPCG(r.Uint64(), 1)), clients: make(map[*entry]*platform.Client)}
		for _, e := range s.entries {
			c.clients[e] = s.client(e, t.customer, answerTimeout)
		}
		burst = append(burst, t)
		all.Go(func() { c.submit(context.Background(), t) })
	}
	all.Wait()
	return burst[kept:]
}

// endOwnerAtTransaction sends a signal to the owner of a pool that follows the first one, with the
// n-th of its transactions that store jobs. The returned channel is closed then.
func (s *soak) endOwnerAtTransaction(pool string, first *entry, n int, signal syscall.Signal, down time.Duration) <-chan struct{} {
	ended := make(chan struct{})
	var mu sync.Mutex
	seen := 0
	s.grid.SetCommitObserver(func(key string) {
		next := s.owner(pool)
		if next == nil || next == first || !strings.HasPrefix(key, workload.ProgressPrefix(pool)) && !strings.HasPrefix(key, workload.RecordKey("")) && key != member.HeadKey(pool) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if seen++; seen != n {
			return
		}
		next.noteDisturbance()
		next.signal(signal, down)
		close(ended)
	})
	return ended
}

// cancelTogether cancels jobs at once, at random entries, until that is acknowledged or has failed
// several times. Jobs that may have been accepted are cancelled as well.
func (s *soak) cancelTogether(r *rand.Rand, burst []*submission) {
	var all sync.WaitGroup
	for _, t := range burst {
		if t.outcome == refused {
			continue
		}
		first := r.IntN(len(s.entries))
		all.Go(func() {
			for n := 0; n < submitAttempts && !t.cancelled; n++ {
				e := s.entries[(first+n)%len(s.entries)]
				s.cancel(context.Background(), s.client(e, t.customer, answerTimeout), t)
			}
		})
	}
	all.Wait()
}

// owner returns the entry that owns a pool, nil if there is none.
func (s *soak) owner(pool string) *entry {
	stored, err := s.grid.Store().KV().Get(context.Background(), member.OwnerKey(pool))
	if err != nil || !stored.Exists() {
		return nil
	}
	var owner member.Member
	if json.Unmarshal(stored.Value(), &owner) != nil {
		return nil
	}
	for _, e := range s.entries {
		if e.name == owner.Name {
			return e
		}
	}
	return nil
}

// TestOwnersEndWithinBatches runs a seed in which, beside the faults of TestLinkFaults, owners end
// within the batches that store the cancellations of many jobs.
func TestOwnersEndWithinBatches(t *testing.T) {
	run(t, cmp.Or(*seedFlag, fixedSeed), withBatchFaults)
}
