package quota_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/quota"
)

const name = "bistro"

var poolNames = []string{"shift", "payout", "tips"}

func cores(n int64) pointport.Shape { return pointport.Shape{CPUMilli: n * 1000} }

func directory(limit pointport.Shape) *customer.Directory {
	return customer.NewDirectory([]customer.Customer{{Name: name, Cap: limit}})
}

// A world is three owners, the store that holds the customer's account, and the reference:
// one sum of what runs.
type world struct {
	now      time.Time
	revision pointport.Revision
	value    []byte
	owners   []*owner
	// caps holds the caps that count, with when each stopped being the newest.
	caps []countingCap
	// late are changes that may yet be made.
	late []lateChange
}

// A lateChange is one that the owner of a pool has sent.
type lateChange struct {
	pool string
	quota.Change
}

type countingCap struct {
	limit int64 // cores
	until time.Time
}

// An owner is that of one pool, with what runs there.
type owner struct {
	pool    string
	ledger  *quota.Ledger
	policy  *quota.Policy
	learnBy time.Time // when the newest configuration must be known
	next    *quota.Policy
	runs    []int64
	flight  []quota.Change
}

func newWorld(limit int64) *world {
	w := &world{now: time.Unix(1000, 0), caps: []countingCap{{limit: limit}}}
	for _, pool := range poolNames {
		o := &owner{pool: pool, policy: quota.NewPolicy(nil, directory(cores(limit)), poolNames, 1)}
		w.owners = append(w.owners, o)
		w.restart(o)
	}
	return w
}

// restart has another owner take a pool; what runs there goes on. No change of the former
// one can be made any more, since each depends on its ownership.
func (w *world) restart(o *owner) {
	w.late = slices.DeleteFunc(w.late, func(c lateChange) bool { return c.pool == o.pool })
	o.flight = nil
	o.ledger = quota.NewLedger(o.pool)
	o.ledger.SetPolicy(o.policy)
	_ = o.ledger.Reset(w.entries())
	w.use(o, 0)
}

func (w *world) entries() []pointport.Entry {
	if w.revision == 0 {
		return nil
	}
	return []pointport.Entry{pointport.NewEntry(quota.Key(name), w.value, w.revision)}
}

func (w *world) use(o *owner, wanted int64) {
	o.ledger.SetUsage(name, quota.Usage{Used: cores(o.used()), Wanted: cores(wanted)})
}

func (o *owner) used() int64 {
	var sum int64
	for _, r := range o.runs {
		sum += r
	}
	return sum
}

// store makes a change if the account is as it says.
func (w *world) store(c quota.Change) bool {
	if c.Revision != w.revision {
		return false
	}
	w.revision++
	w.value = c.Value
	return true
}

// running is the reference: what runs in all pools.
func (w *world) running() int64 {
	var sum int64
	for _, o := range w.owners {
		sum += o.used()
	}
	return sum
}

// limit returns the highest cap that counts.
func (w *world) limit() int64 {
	var most int64
	for _, c := range w.caps {
		if c.until.IsZero() || w.now.Before(c.until) {
			most = max(most, c.limit)
		}
	}
	return most
}

// formerCounts is for how long a former cap counts, learnTime within what time each owner
// knows a new one.
const (
	formerCounts = 2 * time.Second
	learnTime    = time.Second
)

// Whatever owners start, end, store, hear late or not at all, whoever takes their pools, and
// however the cap changes: no start lifts what runs past the cap.
func TestNeverPastTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(4, 200).Draw(t, "cap")
		w := newWorld(limit)
		version := int64(1)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 100, 600}).Draw(t, "ms")) * time.Millisecond)
			for _, o := range w.owners {
				if o.next != nil && !w.now.Before(o.learnBy) {
					w.learn(o)
				}
			}
			o := rapid.SampledFrom(w.owners).Draw(t, "pool")
			switch rapid.SampledFrom([]string{"start", "start", "fill", "fill", "end", "empty", "change", "change", "answer", "all", "hear", "learn", "cap", "restart", "late"}).Draw(t, "op") {
			case "start":
				w.start(t, o, rapid.Int64Range(1, 8).Draw(t, "cores"))
			case "fill":
				need := rapid.Int64Range(1, 8).Draw(t, "cores")
				for w.start(t, o, need) {
				}
			case "empty":
				o.runs = nil
				w.use(o, 0)
			case "all":
				for _, o := range w.owners {
					o.flight = append(o.flight, o.ledger.Changes(w.now, 8)...)
					w.answer(t, o)
				}
			case "end":
				if len(o.runs) > 0 {
					o.runs = o.runs[1:]
					w.use(o, 0)
				}
			case "change":
				o.flight = append(o.flight, o.ledger.Changes(w.now, 8)...)
			case "answer":
				w.answer(t, o)
			case "hear":
				_ = o.ledger.Apply(w.entries())
			case "learn":
				w.learn(o)
			case "cap":
				for _, o := range w.owners {
					w.learn(o)
				}
				version++
				limit = rapid.Int64Range(4, 200).Draw(t, "cap")
				w.caps[len(w.caps)-1].until = w.now.Add(formerCounts)
				w.caps = append(w.caps, countingCap{limit: limit})
				for _, o := range w.owners {
					o.next = quota.NewPolicy(o.policy, directory(cores(limit)), poolNames, version)
					o.learnBy = w.now.Add(learnTime)
				}
			case "restart":
				w.restart(o)
			case "late":
				for _, c := range w.late {
					w.store(c.Change)
				}
				w.late = nil
			}
		}
	})
}

// start starts a task in an owner's pool; false if the customer's cap does not allow it.
func (w *world) start(t *rapid.T, o *owner, need int64) bool {
	allowed := o.ledger.Allowed()[name]
	if !allowed.Fits(cores(o.used() + need)) {
		w.use(o, 20*need)
		return false
	}
	o.runs = append(o.runs, need)
	w.use(o, 0)
	if got := w.running(); got > w.limit() {
		t.Fatalf("a start in %s lifts what runs to %d cores of %d; account %s", o.pool, got, w.limit(), w.value)
	}
	return true
}

// learn has an owner know the newest configuration.
func (w *world) learn(o *owner) {
	if o.next == nil {
		return
	}
	o.policy, o.next = o.next, nil
	o.ledger.SetPolicy(o.policy)
}

// answer has the store carry out the oldest change of an owner, or not, and say so, or not.
func (w *world) answer(t *rapid.T, o *owner) {
	if len(o.flight) == 0 {
		return
	}
	c := o.flight[0]
	o.flight = o.flight[1:]
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "refused", "late"}).Draw(t, "fate") {
	case "answered":
		if w.store(c) {
			o.ledger.HandleOutcome(c, w.revision, quota.Committed)
			return
		}
		_ = o.ledger.Apply(w.entries())
		o.ledger.HandleOutcome(c, 0, quota.NotCommitted)
	case "lost":
		w.store(c)
		o.ledger.HandleOutcome(c, 0, quota.Ambiguous)
	case "refused":
		o.ledger.HandleOutcome(c, 0, quota.NotCommitted)
	case "late":
		w.late = append(w.late, lateChange{o.pool, c})
		o.ledger.HandleOutcome(c, 0, quota.Ambiguous)
	}
}

// settle has all owners learn, change and hear until nothing is left to do.
func (w *world) settle() {
	for range 20 {
		w.now = w.now.Add(300 * time.Millisecond)
		for _, o := range w.owners {
			w.learn(o)
			for _, c := range o.ledger.Changes(w.now, 8) {
				if w.store(c) {
					o.ledger.HandleOutcome(c, w.revision, quota.Committed)
					continue
				}
				_ = o.ledger.Apply(w.entries())
				o.ledger.HandleOutcome(c, 0, quota.NotCommitted)
			}
		}
		for _, o := range w.owners {
			_ = o.ledger.Apply(w.entries())
		}
	}
}

// A customer whose work comes to one pool of three gets most of its cap there, gives it back
// when it has gone, and one that stays within its even parts stores nothing.
func TestCapFollowsTheWork(t *testing.T) {
	w := newWorld(120)
	for _, o := range w.owners {
		o.runs = []int64{8}
		w.use(o, 0)
	}
	w.settle()
	if w.revision != 0 {
		t.Errorf("%s was stored for a customer within its even parts", w.value)
	}
	busy := w.owners[0]
	w.use(busy, 200)
	w.settle()
	if got := busy.ledger.Allowed()[name].CPUMilli; got != 100_000 {
		t.Errorf("the pool with the work may use %d thousandths of 120 cores, want 100,000: all but the even parts of two", got)
	}
	w.use(busy, 0)
	other := w.owners[1]
	w.use(other, 200)
	w.settle()
	if got := other.ledger.Allowed()[name].CPUMilli; got < 99_000 {
		t.Errorf("the pool to which the work has moved may use %d thousandths, want nearly 100,000", got)
	}
}

// While more runs than a lowered cap allows, nothing starts anywhere; once enough has ended,
// all may go on.
func TestLoweredCap(t *testing.T) {
	w := newWorld(120)
	for _, o := range w.owners {
		for range 4 {
			o.runs = append(o.runs, 8)
		}
		w.use(o, 8)
	}
	w.settle()
	for _, o := range w.owners {
		o.next = quota.NewPolicy(o.policy, directory(cores(40)), poolNames, 2)
	}
	w.settle()
	for _, o := range w.owners {
		if got := o.ledger.Allowed()[name].CPUMilli; got != 0 {
			t.Errorf("pool %s may use %d thousandths while 96 cores run of 40", o.pool, got)
		}
	}
	for _, o := range w.owners {
		o.runs = o.runs[:1]
		w.use(o, 0)
	}
	w.settle()
	for _, o := range w.owners {
		if got := o.ledger.Allowed()[name].CPUMilli; got < 8_000 {
			t.Errorf("pool %s may use %d thousandths although 24 cores run of 40", o.pool, got)
		}
	}
}

// What cannot be read as an account is none, and ends in no panic.
func FuzzAccount(f *testing.F) {
	f.Add([]byte(`{"rows":{"shift":{"v":1,"held":{"cpuMilli":1,"memoryMiB":2,"accelerators":0}}}}`))
	f.Add([]byte(`{"rows":{"shift":{"v":1,"held":{"cpuMilli":-1}}}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		l := quota.NewLedger("shift")
		l.SetPolicy(quota.NewPolicy(nil, directory(cores(8)), poolNames, 1))
		_ = l.Reset([]pointport.Entry{pointport.NewEntry(quota.Key(name), value, 1)})
		if got := l.Allowed()[name].CPUMilli; got < 0 || got > 8_000 {
			t.Errorf("account %s allows %d thousandths of 8 cores", value, got)
		}
	})
}
