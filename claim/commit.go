package claim

import (
	"context"
	"slices"
	"time"

	"github.com/pointport/pointport"
)

// This file defines one group commit: from a batch of claims to their answers.

// writeBound is how long a write may take beyond its batch's deadline. Segments
// are kept far longer.
const writeBound = time.Minute

// A commit is one batch on its way into the store.
type commit struct {
	desk     *desk
	claims   []*pending
	outcomes []record
	token    string
	deadline time.Time
	inDoubt  bool // whether a write of this batch may have taken effect
}

// run writes the batch. When it returns nil, every claim has its answer.
func (c *commit) run(ctx context.Context) error {
	p := c.desk.part
	for {
		if c.desk.book.clock.Now().After(c.deadline) {
			return &pointport.UnavailableError{Op: "claim", Ambiguous: c.inDoubt, Err: errLate}
		}
		if err := p.load(ctx); err != nil {
			return err
		}
		if c.inDoubt || p.stale() {
			if err := p.refresh(ctx); err != nil {
				return err
			}
		}
		records := c.prepare()
		if len(records) == 0 {
			return nil
		}
		c.desk.book.writes.Add(1)
		err := p.write(ctx, records)
		switch {
		case err == nil:
			c.narrow()
			return c.finish()
		case conflicted(err):
			c.widen()
			// A write in vain costs the store as much as any other.
			c.desk.awaitWrite(ctx, 0)
			if err := p.refresh(ctx); err != nil {
				return err
			}
		case ambiguous(err):
			c.inDoubt = true
		default:
			return err
		}
	}
}

// widen makes claims gather longer, since other writers are as fast.
func (c *commit) widen() {
	c.desk.book.conflicts.Add(1)
	c.desk.window = min(max(2*c.desk.window, time.Millisecond), maxGather)
}

// narrow makes claims gather less again.
func (c *commit) narrow() {
	c.desk.window = max(c.desk.book.gather, c.desk.window*3/4)
}

// prepare answers the claims that are settled by what is known, and returns
// the records that are left to write.
func (c *commit) prepare() []record {
	p, now := c.desk.part, c.desk.book.clock.Now()
	var records []record
	var left []*pending
	batch := make(map[Key]bool)
	for _, w := range c.claims {
		k, ok := p.index[w.key]
		switch {
		case ok && k.token == digest(c.token) && !batch[w.key]:
			// An earlier write of this batch took effect.
			batch[w.key] = true
			c.grant(w)
		case ok:
			w.answer(c.desk.latest(w.key, k, c.outcomes).taken(now))
		case batch[w.key]:
			w.answer(&TakenError{State: InProgress, At: now})
		default:
			batch[w.key] = true
			left = append(left, w)
			records = append(records, record{Key: w.key, At: now.Unix(), Token: c.token})
		}
	}
	c.claims = left
	c.outcomes = slices.DeleteFunc(c.outcomes, p.settled)
	return append(records, c.outcomes...)
}

// taken returns what a second request learns of the first.
func (k known) taken(now time.Time) error {
	at := time.Unix(int64(k.at), 0)
	state := k.stateOf()
	if state == InProgress && now.Sub(at) > InProgressTimeout {
		state = Unknown
	}
	return &TakenError{State: state, Status: int(k.status), At: at}
}

// finish answers the claims of a batch that was just written. A write that
// took so long that segments may have been removed meanwhile grants nothing.
func (c *commit) finish() error {
	if c.desk.book.clock.Now().After(c.deadline.Add(writeBound)) {
		c.inDoubt = true
		return &pointport.UnavailableError{Op: "claim", Ambiguous: true, Err: errLate}
	}
	for _, w := range c.claims {
		c.grant(w)
	}
	c.claims = nil
	return nil
}

// grant gives a claim to whoever waits for it, and releases it if nobody does.
func (c *commit) grant(w *pending) {
	w.token = c.token
	if !w.answer(nil) {
		c.desk.settle(record{Key: w.key, At: c.desk.book.clock.Now().Unix(), State: Released, Token: c.token})
	}
}

// giveUp refuses every claim of the batch and keeps its outcomes for later.
func (c *commit) giveUp(err error) {
	if c.inDoubt {
		c.desk.abandoned[digest(c.token)] = c.token
	}
	for _, w := range c.claims {
		w.answer(&pointport.UnavailableError{Op: "claim", Err: err})
	}
	c.desk.mu.Lock()
	defer c.desk.mu.Unlock()
	c.desk.outcomes = append(c.outcomes, c.desk.outcomes...)
}
