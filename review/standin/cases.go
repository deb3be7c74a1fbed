package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the cases.

// The bounds of the settings that the checks use.
const (
	cancelTime  = 3 * time.Second  // cancel_ms
	contactTime = 3 * time.Second  // contact_timeout_ms
	finishTime  = 14 * time.Second // finish_s
	idleTime    = 3 * time.Second  // how long a job has nothing running, by LOST
)

var scenarios = map[string]scenario{
	"cancel":     {machines: 4, cpu: 4000, entries: 4, play: playCancel},
	"checkpoint": {machines: 8, spare: 2, cpu: 8000, entries: 4, play: playCheckpoint},
	"gang":       {machines: 8, spare: 2, cpu: 8000, entries: 4, play: playGang},
}

// newID returns an ID of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// hexCheckpoint returns a checkpoint like those in the pages' examples: the work in milliseconds and
// some digits of the work unit, in hexadecimal.
func hexCheckpoint(task string, done time.Duration) string {
	return fmt.Sprintf("%08x%.8s", done.Milliseconds(), task)
}

// separatedCheckpoint returns a checkpoint of two fields with the unit separator of ASCII between
// them.
func separatedCheckpoint(task string, done time.Duration) string {
	return fmt.Sprintf("at=%d\x1funit=%s", done.Milliseconds(), task)
}

// doneIn returns the work that a checkpoint stands for.
func doneIn(checkpoint string) time.Duration {
	ms := int64(0)
	if strings.HasPrefix(checkpoint, "at=") {
		_, _ = fmt.Sscanf(checkpoint, "at=%d", &ms)
	} else if len(checkpoint) >= 8 {
		_, _ = fmt.Sscanf(checkpoint[:8], "%08x", &ms)
	}
	return time.Duration(ms) * time.Millisecond
}

// playCancel cancels many waiting jobs. With the disruption, the pool's owner is killed just before,
// and the next owner just after the store has confirmed a change of it.
func playCancel(p *play) (bool, error) {
	const jobs, cancelled = 100, 40
	ids := make([]string, jobs)
	var all sync.WaitGroup
	for n := range ids {
		ids[n] = newID()
		p.works[ids[n]] = []work{{duration: 2 * time.Second, cpu: 2000}}
	}
	for n, id := range ids {
		all.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			p.submit(id, "shift "+id, []step{{Count: 1, CPU: 2000, Memory: 512, EstimatedMS: 2000}})
		})
	}
	all.Wait()
	time.Sleep(time.Second)

	c := &cancellations{play: p, ackedAt: make(map[string]time.Time)}
	p.farm.mu.Lock()
	p.farm.onStart = c.started
	p.farm.mu.Unlock()
	live := p.entries
	if p.trouble {
		first := p.byName(ownerOf(p.kv, pool))
		if first == nil {
			return false, fmt.Errorf("the pool has no owner")
		}
		p.killAtConfirmation()
		first.kill(3500 * time.Millisecond)
		live = slices.DeleteFunc(slices.Clone(p.entries), func(e *entry) bool { return e == first })
	}
	// The jobs that came last wait for room.
	for n, id := range ids[jobs-cancelled:] {
		all.Go(func() {
			if status, _ := p.call(live[n%len(live)], http.MethodDelete, id, nil); status/100 == 2 {
				c.acknowledged(id)
			}
		})
	}
	all.Wait()
	if n := c.count(); n < cancelled/2 {
		return false, fmt.Errorf("only %d cancellations were acknowledged", n)
	}
	time.Sleep(30 * time.Second)
	completed := 0
	for _, id := range ids[jobs-cancelled:] {
		if p.state(id) == "completed" {
			completed++
		}
	}
	late := c.lateStarts()
	p.rec.line("%d cancellations were acknowledged; %d of these jobs are shown as completed; %d work units of them were started over %v after the acknowledgement, by a machine in touch", c.count(), completed, late, cancelTime)
	return late > 0, nil
}

// cancellations holds which cancellations were acknowledged, and what was started after that.
type cancellations struct {
	play *play

	mu      sync.Mutex
	ackedAt map[string]time.Time
	late    int
}

// acknowledged notes that the cancelling of a job was answered with 2xx.
func (c *cancellations) acknowledged(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ackedAt[id] = time.Now()
}

func (c *cancellations) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ackedAt)
}

func (c *cancellations) lateStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

// started checks a start by UNASKED: a machine in touch starts no work unit later than cancelTime
// after the job's cancelling was acknowledged.
func (c *cancellations) started(l *life, r *run) {
	job, _ := parseTask(r.task)
	c.mu.Lock()
	at, ok := c.ackedAt[job]
	c.mu.Unlock()
	after := time.Since(at)
	if !ok || after <= cancelTime {
		return
	}
	sender := c.play.byName(ownerOf(c.play.kv, pool))
	if sender == nil || !sender.inTouch() {
		c.play.rec.line("%s run %d starts on %s %v after its cancelling was acknowledged, by a machine that is not in touch", r.task, r.number, l.id, after.Round(time.Millisecond))
		return
	}
	c.mu.Lock()
	c.late++
	c.mu.Unlock()
	c.play.rec.line("UNASKED: %s run %d starts on %s, sent by %s, %v after the cancelling of its job was acknowledged", r.task, r.number, l.id, sender.name, after.Round(time.Millisecond))
}

// killAtConfirmation kills the process of the pool's next owner a millisecond after the store has
// confirmed its first change that takes cancellations.
func (p *play) killAtConfirmation() {
	var once sync.Once
	p.store.observe(func(txn pointport.Txn) {
		taken := 0
		for _, key := range txn.Delete {
			if strings.HasPrefix(key, "open/"+pool+"/") && strings.HasSuffix(key, "!cancel") {
				taken++
			}
		}
		if taken == 0 {
			return
		}
		once.Do(func() {
			owner := p.byName(ownerOf(p.kv, pool))
			p.rec.line("the store confirms a change that puts %d entries and removes %d, %d of these cancellations", len(txn.Put), len(txn.Delete), taken)
			if owner == nil {
				return
			}
			go func() {
				time.Sleep(time.Millisecond)
				owner.kill(3500 * time.Millisecond)
			}()
		})
	})
}

// playCheckpoint kills the pool's owner once it has stored the progress of a job whose work units
// have saved checkpoints.
func playCheckpoint(p *play) (bool, error) {
	plain, separated := newID(), newID()
	steps := []step{{Count: 3, CPU: 2000, Memory: 512, EstimatedMS: 8000, Checkpointing: true}, {Count: 2, CPU: 2000, Memory: 512, EstimatedMS: 8000, Checkpointing: true}}
	p.works[plain] = []work{{duration: 2500 * time.Millisecond, cpu: 2000, checkpoint: hexCheckpoint}, {duration: 8 * time.Second, cpu: 2000, checkpoint: hexCheckpoint}}
	p.works[separated] = []work{{duration: 2500 * time.Millisecond, cpu: 2000, checkpoint: separatedCheckpoint}, {duration: 8 * time.Second, cpu: 2000, checkpoint: separatedCheckpoint}}
	for _, id := range []string{plain, separated} {
		if !p.submit(id, "proof "+id, steps) {
			return false, fmt.Errorf("job %s was not accepted", id)
		}
	}
	time.Sleep(4500 * time.Millisecond)
	if p.trouble {
		owner := p.byName(ownerOf(p.kv, pool))
		if owner == nil {
			return false, fmt.Errorf("the pool has no owner")
		}
		owner.kill(3500 * time.Millisecond)
	}
	return p.lost(plain, separated)
}

// lost waits until jobs are completed and reports whether one breaks LOST: when it is asked for
// finishTime and more after the traffic, it has nothing running, for idleTime, while its work units'
// turn has come, capacity for them exists twice over and under half of the service's is in use.
func (p *play) lost(ids ...string) (bool, error) {
	idle := make(map[string]time.Time)
	asked := time.Now().Add(finishTime + 16*time.Second)
	for time.Now().Before(asked) {
		time.Sleep(100 * time.Millisecond)
		used, all := p.farm.usedCPU(pool)
		for _, id := range ids {
			if p.farm.runsOf(id) > 0 || 2*used >= all {
				delete(idle, id)
			} else if idle[id].IsZero() {
				idle[id] = time.Now()
			}
		}
	}
	broken := false
	for _, id := range ids {
		state := p.state(id)
		idleFor := time.Duration(0)
		if !idle[id].IsZero() {
			idleFor = time.Since(idle[id])
		}
		used, all := p.farm.usedCPU(pool)
		p.rec.line("job %s is shown as %s; nothing of it has run for %v; %d of %d thousandths of the pool's cores are in use", id, state, idleFor.Round(time.Millisecond), used, all)
		if state != "completed" && (state == "failed" || state == "cancelled" || state == "gone" || idleFor > idleTime) {
			p.rec.line("LOST: job %s", id)
			broken = true
		}
	}
	return broken, nil
}

// playGang crashes the runner of one member of a gang that saves checkpoints, and checks that no run
// ends alone once that is over.
func playGang(p *play) (bool, error) {
	const down = 4500 * time.Millisecond
	id := newID()
	p.works[id] = []work{{duration: 9 * time.Second, cpu: 2000, gang: 3, checkpoint: hexCheckpoint}}
	g := &gangChecks{play: p, brought: make(map[int]map[string]bool)}
	p.farm.mu.Lock()
	p.farm.onStart, p.farm.onEnd = g.started, g.ended
	p.farm.mu.Unlock()
	if !p.submit(id, "plates "+id, []step{{Count: 3, CPU: 2000, Memory: 512, EstimatedMS: 9000, Checkpointing: true, Gang: true, PerRunner: 1}}) {
		return false, fmt.Errorf("the job was not accepted")
	}
	if err := p.until(5*time.Second, "the gang works", func() bool { return p.farm.runsOf(id) == 3 }); err != nil {
		return false, err
	}
	time.Sleep(5500 * time.Millisecond)
	p.farm.mu.Lock()
	g.calmFrom = time.Now().Add(down + contactTime)
	p.farm.mu.Unlock()
	if p.trouble {
		m := p.farm.holding(id + ".0.0.1")
		if m == nil {
			return false, fmt.Errorf("member 1 does not run")
		}
		p.farm.crash(m, down)
	}
	time.Sleep(finishTime + 16*time.Second)
	p.rec.line("the job is shown as %s", p.state(id))
	p.farm.mu.Lock()
	defer p.farm.mu.Unlock()
	p.rec.line("%d runs of the gang have brought more than one checkpoint; %d work units have ended alone in calm", g.mixedRuns(), g.alone)
	return g.alone > 0, nil
}

// gangChecks checks the starts and the ends of a gang. The farm's lock guards it.
type gangChecks struct {
	play     *play
	brought  map[int]map[string]bool // checkpoints by run
	calmFrom time.Time               // from when on no impairment is near
	alone    int                     // ends alone in calm
}

// started notes the checkpoint that a start brought.
func (g *gangChecks) started(_ *life, r *run) {
	if g.brought[r.number] == nil {
		g.brought[r.number] = make(map[string]bool)
	}
	g.brought[r.number][r.brought] = true
	if len(g.brought[r.number]) > 1 {
		g.play.rec.line("members of run %d of the gang bring %d different checkpoints", r.number, len(g.brought[r.number]))
	}
}

// mixedRuns returns how many runs were started with more than one checkpoint.
func (g *gangChecks) mixedRuns() int {
	n := 0
	for _, texts := range g.brought {
		if len(texts) > 1 {
			n++
		}
	}
	return n
}

// ended checks an end by GANG: no run ends alone while its sender is in touch and no impairment is
// near.
func (g *gangChecks) ended(l *life, e end) {
	sender := g.play.byName(ownerOf(g.play.kv, pool))
	if e.how != "alone" || g.calmFrom.IsZero() || time.Now().Before(g.calmFrom) || sender == nil || !sender.inTouch() {
		return
	}
	g.alone++
	g.play.rec.line("GANG: %s run %d ends alone on %s, %v after the impairment and contact_timeout_ms; its sender is %s", e.task, e.run, l.id, time.Since(g.calmFrom).Round(time.Millisecond), sender.name)
}
