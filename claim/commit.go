package claim

import (
	"context"
	"slices"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the group commit of one batch of claims and outcomes.

// maxWriteOverrun is how long after its batch's deadline a successful write may
// still grant claims. It is far below the retention: a write that took longer
// could have created a segment anew that others had sealed and removed meanwhile.
const maxWriteOverrun = time.Minute

// A commit writes one batch of claims and outcomes to the store.
type commit struct {
	batcher   *batcher
	claims    []*pending
	outcomes  []record
	token     string
	deadline  time.Time
	ambiguous bool // whether a write of this batch may have taken effect, its answer being lost
}

// run writes the batch, with retries until its deadline. If it returns nil, every
// claim has its result. It returns a *pointport.UnavailableError if the deadline
// passes, or the store's error if a call fails without effect.
func (c *commit) run(ctx context.Context) error {
	p := c.batcher.partition
	for {
		if c.batcher.claimer.clock.Now().After(c.deadline) {
			return &pointport.UnavailableError{Op: "claim", Ambiguous: c.ambiguous, Err: errWriteTimeout}
		}
		if err := p.load(ctx); err != nil {
			return err
		}
		if c.ambiguous || p.stale() {
			if err := p.refresh(ctx); err != nil {
				return err
			}
		}
		records := c.prepare()
		if len(records) == 0 {
			return nil
		}
		c.batcher.claimer.writes.Add(1)
		err := p.write(ctx, records)
		switch {
		case err == nil:
			c.shortenDelay()
			return c.finish()
		case isConflict(err):
			c.lengthenDelay()
			// A write that conflicts costs the store as much as any other, so it
			// counts against the write rate.
			c.batcher.awaitWriteBudget(ctx, 0)
			if err := p.refresh(ctx); err != nil {
				return err
			}
		case isAmbiguous(err):
			c.ambiguous = true
		default:
			return err
		}
	}
}

// lengthenDelay doubles the batch delay, up to maxBatchDelay, after a conflict:
// other entry instances write to the partition just as often, and fewer, larger
// batches conflict less.
func (c *commit) lengthenDelay() {
	c.batcher.claimer.conflicts.Add(1)
	c.batcher.delay = min(max(2*c.batcher.delay, time.Millisecond), maxBatchDelay)
}

// shortenDelay brings the batch delay back towards its configured value.
func (c *commit) shortenDelay() {
	c.batcher.delay = max(c.batcher.claimer.batchDelay, c.batcher.delay*3/4)
}

// prepare answers the claims whose result the index already shows, and returns
// the records that remain to be written.
func (c *commit) prepare() []record {
	part, now := c.batcher.partition, c.batcher.claimer.clock.Now()
	var records []record
	var remaining []*pending
	batch := make(map[Key]bool)
	for _, p := range c.claims {
		e, ok := part.index[p.key]
		switch {
		case ok && e.token == digest(c.token) && !batch[p.key]:
			// An earlier write of this batch took effect, although its answer was lost.
			batch[p.key] = true
			c.grant(p)
		case ok:
			p.answer(c.batcher.withPendingOutcome(p.key, e, c.outcomes).takenError(now))
		case batch[p.key]:
			p.answer(&TakenError{State: InProgress, At: now})
		default:
			batch[p.key] = true
			remaining = append(remaining, p)
			records = append(records, record{Key: p.key, At: now.Unix(), Token: c.token})
		}
	}
	c.claims = remaining
	c.outcomes = slices.DeleteFunc(c.outcomes, part.outcomeKnown)
	return append(records, c.outcomes...)
}

// takenError returns the error for a second request with the same key. A claim
// that is in progress for longer than InProgressTimeout is reported as Unknown.
func (e indexEntry) takenError(now time.Time) error {
	at := time.Unix(int64(e.at), 0)
	state := e.state()
	if state == InProgress && now.Sub(at) > InProgressTimeout {
		state = Unknown
	}
	return &TakenError{State: state, Status: int(e.status), At: at}
}

// finish grants the claims of a batch that was just written. A write that ended
// more than maxWriteOverrun after the deadline grants nothing, because segments
// may have been removed meanwhile.
func (c *commit) finish() error {
	if c.batcher.claimer.clock.Now().After(c.deadline.Add(maxWriteOverrun)) {
		c.ambiguous = true
		return &pointport.UnavailableError{Op: "claim", Ambiguous: true, Err: errWriteTimeout}
	}
	for _, p := range c.claims {
		c.grant(p)
	}
	c.claims = nil
	return nil
}

// grant grants a claim to its caller, and releases it if the caller has abandoned it.
func (c *commit) grant(p *pending) {
	p.token = c.token
	if !p.answer(nil) {
		c.batcher.addOutcome(record{Key: p.key, At: c.batcher.claimer.clock.Now().Unix(), State: Released, Token: c.token})
	}
}

// fail refuses every claim of the batch and puts its outcomes back into the queue.
// If a write may have taken effect, its token is remembered so that its claims can
// be released later.
func (c *commit) fail(err error) {
	if c.ambiguous {
		c.batcher.abandoned[digest(c.token)] = c.token
	}
	for _, p := range c.claims {
		p.answer(&pointport.UnavailableError{Op: "claim", Err: err})
	}
	c.batcher.mu.Lock()
	defer c.batcher.mu.Unlock()
	c.batcher.outcomes = append(c.outcomes, c.batcher.outcomes...)
}
