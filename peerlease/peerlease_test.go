package peerlease

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/pointport/pointport"
)

// This file tests the parts of the package one by one.

// testClock is a clock that the test sets.
type testClock struct {
	pointport.Clock
	now time.Time
}

func (c *testClock) Steady() time.Time { return c.now }

var (
	owner    = Process{Name: "a", Peer: "a:1", ID: "a1"}
	standby1 = Process{Name: "b", Peer: "b:1", ID: "b1"}
	standby2 = Process{Name: "c", Peer: "c:1", ID: "c1"}
)

func testDocument() *Document {
	d := NewDocument(owner, 5, []Process{standby1, standby2}, 8*time.Second, time.Second)
	return &d
}

// TestDecode guards against documents that are taken for valid although a field is missing or has
// another type, and against a fence that is lost in the transaction that creates it.
func TestDecode(t *testing.T) {
	files, err := filepath.Glob("testdata/document/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no documents: %v", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/document"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		t.Run(name, func(t *testing.T) {
			value, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			d, err := Decode(pointport.NewEntry("roster/standby/p", value, 42))
			if err != nil {
				g.Assert(t, name, []byte(err.Error()+"\n"))
				return
			}
			out, err := d.Encode()
			if err != nil {
				t.Fatal(err)
			}
			g.Assert(t, name, append(out, '\n'))
		})
	}
}

// TestDocumentRoundTrip guards against fields that are not encoded.
func TestDocumentRoundTrip(t *testing.T) {
	d := testDocument()
	d.Unrecorded = true
	value, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(pointport.NewEntry("k", value, 42))
	if err != nil {
		t.Fatal(err)
	}
	if got.Process != d.Process || got.Fence != 5 || got.Bound != 10500*time.Millisecond || !got.Unrecorded ||
		len(got.Standbys) != 2 || got.Standbys[0] != standby1 || got.Standbys[1] != standby2 {
		t.Errorf("got %+v, want %+v", got, *d)
	}
}

// TestGrant checks each reason for which a lease is refused.
func TestGrant(t *testing.T) {
	for _, c := range []struct {
		name         string
		prepare      func(*Grants)
		request      Request
		storeAnswers bool
		want         Refusal
	}{
		{name: "granted", request: Request{"p", 5, "b1"}},
		{name: "another process", request: Request{"p", 5, "b0"}, want: RefusalProcess},
		{name: "store answers", request: Request{"p", 5, "b1"}, storeAnswers: true, want: RefusalStore},
		{name: "takeover", prepare: func(g *Grants) { g.BeginTakeover("p") }, request: Request{"p", 5, "b1"}, want: RefusalTakeover},
		{name: "takeover of another pool", prepare: func(g *Grants) { g.BeginTakeover("q") }, request: Request{"p", 5, "b1"}},
		{name: "takeover ended", prepare: func(g *Grants) { g.BeginTakeover("p"); g.EndTakeover("p") }, request: Request{"p", 5, "b1"}},
		{name: "takeover allowed", prepare: func(g *Grants) { g.AllowTakeover("p", 5) }, request: Request{"p", 5, "b1"}, want: RefusalFence},
		{name: "takeover from an earlier owner allowed", prepare: func(g *Grants) { g.AllowTakeover("p", 4) }, request: Request{"p", 5, "b1"}},
		{
			name:    "an earlier takeover allowed later",
			prepare: func(g *Grants) { g.AllowTakeover("p", 5); g.AllowTakeover("p", 4) },
			request: Request{"p", 5, "b1"}, want: RefusalFence,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewGrants(&testClock{now: epoch}, standby1)
			if c.prepare != nil {
				c.prepare(g)
			}
			if got := g.Grant(c.request, c.storeAnswers); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if got := g.Granted("p", 5); got != (c.want == "") {
				t.Errorf("Granted: got %v", got)
			}
		})
	}
}

// TestPromiseOutlastsTakeover guards against a promise that is forgotten when a takeover begins or
// is allowed.
func TestPromiseOutlastsTakeover(t *testing.T) {
	clock := &testClock{now: epoch}
	g := NewGrants(clock, standby1)
	g.Grant(Request{"p", 5, "b1"}, false)
	clock.now = epoch.Add(300 * time.Millisecond)
	if got := g.BeginTakeover("p"); got != 700*time.Millisecond {
		t.Errorf("BeginTakeover: got %v", got)
	}
	if got, granted := g.AllowTakeover("p", 5); got != 700*time.Millisecond || !granted {
		t.Errorf("AllowTakeover: got %v, %v", got, granted)
	}
	if _, granted := g.AllowTakeover("p", 6); granted {
		t.Error("AllowTakeover: a later owner counts as granted a lease")
	}
	clock.now = epoch.Add(2 * time.Second)
	if got := g.BeginTakeover("p"); got != 0 {
		t.Errorf("BeginTakeover afterwards: got %v", got)
	}
}

// TestLateTakeoverIsFollowedByNoLease guards against the fault that the model found: a standby sends
// the transaction that takes the pool and gives up, the transaction is carried out, and the former
// owner gets a lease. The next taker would rely on the document of the standby, which says nothing
// about that lease.
func TestLateTakeoverIsFollowedByNoLease(t *testing.T) {
	g := NewGrants(&testClock{now: epoch}, standby1)
	g.BeginTakeover("p")
	g.AllowTakeover("p", 5) // before the transaction is sent
	g.EndTakeover("p")
	if got := g.Grant(Request{"p", 5, "b1"}, false); got != RefusalFence {
		t.Errorf("got %q, want a refusal", got)
	}
}

// TestProofUntil checks until when leases prove an ownership, with the store's proof ending at 1 s
// and a limit of 8 s.
func TestProofUntil(t *testing.T) {
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	both := []Process{standby1, standby2}
	for _, c := range []struct {
		name     string
		standbys []Process
		prepare  func(*Proof)
		byStore  time.Time
		want     time.Time
	}{
		{"no lease", both, func(*Proof) {}, at(time.Second), time.Time{}},
		{"one of two", both, func(p *Proof) { p.Hold(standby1, epoch) }, at(time.Second), time.Time{}},
		{"the earlier end", both, func(p *Proof) { p.Hold(standby1, at(time.Second)); p.Hold(standby2, epoch) }, at(time.Second), at(ownerDuration)},
		{"answers in another order", both[:1], func(p *Proof) { p.Hold(standby1, at(time.Second)); p.Hold(standby1, epoch) }, at(time.Second), at(time.Second + ownerDuration)},
		{"limit", both[:1], func(p *Proof) { p.Hold(standby1, at(time.Minute)) }, at(time.Second), at(9 * time.Second)},
		{"never proven by the store", both[:1], func(p *Proof) { p.Hold(standby1, epoch) }, time.Time{}, time.Time{}},
		{"no standbys", nil, func(*Proof) {}, at(time.Second), time.Time{}},
		{"another process of a standby", both[:1], func(p *Proof) { p.Hold(Process{"b", "b:1", "b2"}, epoch) }, at(time.Second), time.Time{}},
		{"pending list", both[:1], func(p *Proof) { p.Hold(standby1, epoch); p.BeginChange(both[1:]) }, at(time.Second), time.Time{}},
		{"pending list without standbys", both[:1], func(p *Proof) { p.Hold(standby1, epoch); p.BeginChange(nil) }, at(time.Second), time.Time{}},
		{"stored list without standbys", both[:1], func(p *Proof) { p.Hold(standby1, epoch); p.BeginChange(nil); p.EndChange(true) }, at(time.Second), time.Time{}},
		{"list not stored", both[:1], func(p *Proof) { p.Hold(standby1, epoch); p.BeginChange(both[1:]); p.EndChange(false) }, at(time.Second), at(ownerDuration)},
		{"list stored", both[:1], func(p *Proof) { p.Hold(standby2, epoch); p.BeginChange(both[1:]); p.EndChange(true) }, at(time.Second), at(ownerDuration)},
		// The model found that the first of two lists without an answer was forgotten.
		{"two pending lists", both[:1], func(p *Proof) { p.Hold(standby1, epoch); p.BeginChange(both[1:]); p.BeginChange(both[:1]) }, at(time.Second), time.Time{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewProof(&testClock{now: epoch}, 8*time.Second, c.standbys)
			c.prepare(p)
			if got := p.Until(c.byStore); !got.Equal(c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestVerdict checks the table of who may take a pool, 2 s after its owner key was found absent.
func TestVerdict(t *testing.T) {
	now := epoch.Add(2 * time.Second)
	free := epoch.Add(10500 * time.Millisecond)
	started := epoch.Add(1500 * time.Millisecond)
	newcomer := Process{"d", "d:1", "d1"}
	answer := func(asked Process, a Answer) func(*Vacancy) {
		return func(v *Vacancy) { v.Note(now, asked, a) }
	}
	for _, c := range []struct {
		name     string
		self     Process
		prepare  func(*Vacancy)
		at       time.Time
		ask      bool
		recorded bool
	}{
		{"no document", newcomer, func(v *Vacancy) { v.Document = nil }, now, false, true},
		{"former owner", owner, nil, now, false, false},
		{"former owner, all recorded", owner, func(v *Vacancy) { v.Recorded = true }, now, false, true},
		{"later process of the former owner", Process{"a", "a:1", "a2"}, nil, now, false, false},
		{"former owner at another address", Process{"a", "a:2", "a2"}, nil, free, true, false},
		{"standby", standby1, nil, now, false, true},
		{"standby that has granted", standby1, func(v *Vacancy) { v.Granted = true }, now, false, false},
		{"later process of a standby", Process{"b", "b:1", "b2"}, nil, started.Add(Duration), true, false},
		{"newcomer", newcomer, nil, free, true, false},
		{"newcomer, owner released", newcomer, answer(owner, Answer{Kind: AnswerReleased, Name: "a", Recorded: true}), now, false, true},
		{"newcomer, owner restarted", newcomer, answer(owner, Answer{Kind: AnswerRestarted, Name: "a", Recorded: true}), now, false, false},
		{"newcomer, owner holds", newcomer, answer(owner, Answer{Kind: AnswerHolds, Name: "a", Recorded: true}), free, true, false},
		{"newcomer, another member at the owner's address", newcomer, answer(owner, Answer{Kind: AnswerRestarted, Name: "x"}), free, true, false},
		{
			"newcomer, standby allows", newcomer,
			answer(standby1, Answer{Kind: AnswerAllowed, Name: "b", Remaining: 400 * time.Millisecond}),
			now.Add(400 * time.Millisecond), true, false,
		},
		{"newcomer, standby allows and never granted", newcomer, answer(standby1, Answer{Kind: AnswerAllowed, Name: "b", Recorded: true}), now, false, true},
		{"newcomer, standby restarted", newcomer, answer(standby1, Answer{Kind: AnswerRestarted, Name: "b"}), now.Add(Duration), true, false},
		{"newcomer, standby says released", newcomer, answer(standby1, Answer{Kind: AnswerReleased, Name: "b"}), free, true, false},
		{
			"the earlier of two answers", newcomer,
			func(v *Vacancy) {
				v.Note(now, standby1, Answer{Kind: AnswerAllowed, Name: "b"})
				v.Note(now, standby2, Answer{Kind: AnswerRestarted, Name: "c"})
			},
			now, false, false,
		},
		// The model found that a standby of a successor said so of its predecessor's starts.
		{"standby, the owner had inherited unrecorded starts", standby1, func(v *Vacancy) { v.Document.Unrecorded = true }, now, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &Vacancy{Document: testDocument(), Since: epoch}
			if c.prepare != nil {
				c.prepare(v)
			}
			got := v.Verdict(now, c.self, started)
			if !got.At.Equal(c.at) || got.Ask != c.ask || got.Recorded != c.recorded {
				t.Errorf("got %+v, want at %v, ask %v, recorded %v", got, c.at, c.ask, c.recorded)
			}
		})
	}
}

// TestLeaseEndsAtOwnerFirst checks that the owner's view of a lease ends before the standby's
// promise, for any delay of the request and clocks that are each up to 2% off.
func TestLeaseEndsAtOwnerFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.Float64Range(0.98, 1.02)
		ownerRate, standbyRate := rates.Draw(t, "ownerRate"), rates.Draw(t, "standbyRate")
		at := func(rate float64, elapsed time.Duration) time.Time {
			return epoch.Add(time.Duration(float64(elapsed) * rate))
		}
		ownerClock, standbyClock := &testClock{now: epoch}, &testClock{now: epoch}
		p := NewProof(ownerClock, time.Hour, []Process{standby1})
		g := NewGrants(standbyClock, standby1)

		elapsed := time.Duration(0)
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			asked := at(ownerRate, elapsed)
			elapsed += time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
			standbyClock.now = at(standbyRate, elapsed)
			if g.Grant(Request{"p", 5, "b1"}, false) == "" && rapid.Bool().Draw(t, "answered") {
				p.Hold(standby1, asked)
			}
		}
		// The moment at which the standby takes its promise for ended.
		remaining, _ := g.AllowTakeover("p", 5)
		elapsed += time.Duration(float64(remaining)/standbyRate) + time.Microsecond
		standbyClock.now, ownerClock.now = at(standbyRate, elapsed), at(ownerRate, elapsed)
		remaining, _ = g.AllowTakeover("p", 5)
		if remaining != 0 || p.Until(epoch).After(ownerClock.now) {
			t.Fatalf("the promise lasts for %v, the lease until %v", remaining, p.Until(epoch).Sub(ownerClock.now))
		}
	})
}
