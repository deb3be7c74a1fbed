package share_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport/clock"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/share"
)

const (
	elastic = 16
	ttl     = 15 * time.Second
	bound   = 30 * time.Second
)

// A member is an entry instance with its elastic connections.
type member struct {
	holder *share.Holder
	conns  []time.Time // when each connection's request ends
	now    func() time.Time
	want   int
}

// use opens as many connections as allowed, each for a request of length d, and
// closes those whose request has ended unless they are used again.
func (m *member) use(d time.Duration) {
	var open []time.Time
	for _, end := range m.conns {
		if end.After(m.now()) {
			open = append(open, end)
		}
	}
	for len(open) < min(m.want, m.holder.ElasticLimit()) {
		open = append(open, m.now().Add(d))
	}
	m.conns = open
}

func (m *member) used() int {
	n := 0
	for _, end := range m.conns {
		if end.After(m.now()) {
			n++
		}
	}
	return n
}

func newMember(store *memory.Store, c *clock.Fake, name string) *member {
	m := &member{now: c.Now}
	m.holder = share.New(store, c, "zone-a", name, elastic, m.used, share.WithTTL(ttl), share.WithMaxRequestTime(bound))
	return m
}

// TestNeverMoreThanElastic runs entry instances that come, go for ever, pause
// and lose answers, and adds up the connections that are open at any moment.
func TestNeverMoreThanElastic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake(time.Unix(0, 0))
		fault := memory.FaultNone
		store := memory.New(c, memory.WithInjector(func(string, string) memory.Fault { return fault }))
		var members []*member
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			c.Advance(time.Duration(rapid.IntRange(0, 9000).Draw(t, "milliseconds")) * time.Millisecond)
			if len(members) == 0 || len(members) < 6 && rapid.IntRange(0, 9).Draw(t, "join") == 0 {
				members = append(members, newMember(store, c, fmt.Sprint("entry-", len(members))))
			}
			m := rapid.SampledFrom(members).Draw(t, "member")
			m.want = rapid.IntRange(0, elastic).Draw(t, "want")
			fault = rapid.SampledFrom([]memory.Fault{
				memory.FaultNone, memory.FaultNone, memory.FaultNone, memory.FaultDown, memory.FaultLostAnswer, memory.FaultLostCall,
			}).Draw(t, "fault")
			_ = m.holder.Reconcile(context.Background(), m.want)
			m.use(time.Duration(rapid.IntRange(0, int(bound/time.Millisecond)).Draw(t, "request")) * time.Millisecond)
			total := 0
			for _, m := range members {
				total += m.used()
			}
			if total > elastic {
				t.Fatalf("%d elastic connections are open, want at most %d", total, elastic)
			}
		}
	})
}

// TestOneTakesAll lets one entry instance have what nobody else wants, and
// gives it back for another.
func TestOneTakesAll(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	store := memory.New(c)
	a, b := newMember(store, c, "a"), newMember(store, c, "b")
	round := func(m *member, want int) int {
		if err := m.holder.Reconcile(t.Context(), want); err != nil {
			t.Fatal(err)
		}
		return m.holder.ElasticLimit()
	}
	if got := round(a, 20); got != elastic {
		t.Errorf("a got %d, want all %d", got, elastic)
	}
	if got := round(b, 8); got != 0 {
		t.Errorf("b got %d while a has all", got)
	}
	round(a, 0)
	if got := round(b, 8); got != 8 {
		t.Errorf("b got %d after a gave back, want 8", got)
	}
	writes := store.Counts().Writes
	for range 10 {
		round(a, 0)
	}
	if n := store.Counts().Writes - writes; n != 0 {
		t.Errorf("an entry instance that needs nothing wrote %d times", n)
	}
}

// TestGivesBackOnlyWhatIsUnused keeps a grant while requests still use it.
func TestGivesBackOnlyWhatIsUnused(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	store := memory.New(c)
	a, b := newMember(store, c, "a"), newMember(store, c, "b")
	a.want = elastic
	if err := a.holder.Reconcile(t.Context(), elastic); err != nil {
		t.Fatal(err)
	}
	a.use(20 * time.Second)
	if err := a.holder.Reconcile(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if err := b.holder.Reconcile(t.Context(), elastic); err != nil {
		t.Fatal(err)
	}
	if got := b.holder.ElasticLimit(); got != 0 {
		t.Errorf("b got %d while a's requests go on", got)
	}
}

// TestLapse lets a holder be cut off. It must stop by itself, and others must
// get its part, but only once its last request must have ended.
func TestLapse(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	store := memory.New(c)
	a, b := newMember(store, c, "a"), newMember(store, c, "b")
	if err := a.holder.Reconcile(t.Context(), elastic); err != nil {
		t.Fatal(err)
	}
	got := make(map[time.Duration]int)
	for at := time.Duration(0); at < 2*(ttl+bound); at += 5 * time.Second {
		if err := b.holder.Reconcile(t.Context(), elastic); err != nil {
			t.Fatal(err)
		}
		if at >= ttl && a.holder.ElasticLimit() != 0 {
			t.Fatalf("a still uses its grant after %v", at)
		}
		got[at] = b.holder.ElasticLimit()
		c.Advance(5 * time.Second)
	}
	if got[ttl+bound] != 0 {
		t.Errorf("b took a's grant after %v", ttl+bound)
	}
	if got[ttl+bound+10*time.Second] != elastic {
		t.Errorf("b has %d long after a lapsed, want %d", got[ttl+bound+10*time.Second], elastic)
	}
}

// TestGivenBackAndTakenAgain gives a grant back and takes it anew between two
// looks of another, which must not take it for one that was unchanged all the
// time. (A count of renewals, which began anew, once let that happen.)
func TestGivenBackAndTakenAgain(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	store := memory.New(c)
	a, b := newMember(store, c, "a"), newMember(store, c, "b")
	round := func(m *member, want int) {
		if err := m.holder.Reconcile(t.Context(), want); err != nil {
			t.Fatal(err)
		}
	}
	round(a, elastic)
	round(b, elastic) // sees a's first grant
	round(a, 0)
	c.Advance(2 * (ttl + bound))
	round(a, elastic)
	round(b, elastic)
	if got := a.holder.ElasticLimit() + b.holder.ElasticLimit(); got > elastic {
		t.Errorf("a and b have %d together, want at most %d", got, elastic)
	}
}

// TestLongerRequests keeps a holder from using its grant for requests that last
// longer than the value says.
func TestLongerRequests(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	m := newMember(memory.New(c), c, "a")
	if err := m.holder.Reconcile(t.Context(), elastic); err != nil {
		t.Fatal(err)
	}
	m.holder.SetMaxRequestTime(2 * bound)
	if got := m.holder.ElasticLimit(); got != 0 {
		t.Errorf("%d connections are used before the value says how long", got)
	}
	if err := m.holder.Reconcile(t.Context(), elastic); err != nil {
		t.Fatal(err)
	}
	if got := m.holder.ElasticLimit(); got != elastic {
		t.Errorf("got %d back, want %d", got, elastic)
	}
}
