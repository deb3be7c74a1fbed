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

// use closes the connections whose request has ended and opens as many as wanted and
// allowed, each for a request of duration d.
func (m *member) use(duration time.Duration) {
	var open []time.Time
	for _, end := range m.conns {
		if end.After(m.now()) {
			open = append(open, end)
		}
	}
	for len(open) < min(m.want, m.holder.ElasticLimit()) {
		open = append(open, m.now().Add(duration))
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

// TestOpenConnectionsStayWithinElasticPart runs random sequences in which entry instances
// start, stop for ever, pause, and get errors or no answers from the store. The sum of
// their open elastic connections must never exceed the elastic part.
func TestOpenConnectionsStayWithinElasticPart(t *testing.T) {
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

// TestWholeElasticPartMovesBetweenHolders lets one entry instance hold the whole elastic
// part. Another one must get none of it until the first returns it, and an entry instance
// that needs nothing must not write to the store.
func TestWholeElasticPartMovesBetweenHolders(t *testing.T) {
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
		t.Errorf("b got %d while a holds all, want none", got)
	}
	round(a, 0)
	if got := round(b, 8); got != 8 {
		t.Errorf("b got %d after a returned its grant, want 8", got)
	}
	writes := store.Counts().Writes
	for range 10 {
		round(a, 0)
	}
	if n := store.Counts().Writes - writes; n != 0 {
		t.Errorf("an entry instance that needs nothing wrote %d times, want none", n)
	}
}

// TestGrantInUseIsNotReturned checks that a grant is kept while requests still use it,
// although it is no longer wanted. Otherwise another entry instance would use the same
// connections.
func TestGrantInUseIsNotReturned(t *testing.T) {
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
		t.Errorf("b got %d while a's requests still run, want none", got)
	}
}

// TestGrantExpires stops the renewals of a holder, as when it can't reach the store. It must
// stop using its grant by itself when the lease ends. Another holder must get the grant, but
// only after every request that the first one may have sent has ended.
func TestGrantExpires(t *testing.T) {
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
		t.Errorf("b got a's grant after %v, while a's requests may still run", ttl+bound)
	}
	if got[ttl+bound+10*time.Second] != elastic {
		t.Errorf("b has %d long after a's grant expired, want %d", got[ttl+bound+10*time.Second], elastic)
	}
}

// TestGrantReturnedAndTakenAgain returns a grant and takes it again between two reads by
// another holder. That holder must not mistake it for an unchanged grant, which would count
// as expired. This would happen if Beat were a count of renewals, which restarts with a new
// grant.
func TestGrantReturnedAndTakenAgain(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	store := memory.New(c)
	a, b := newMember(store, c, "a"), newMember(store, c, "b")
	round := func(m *member, want int) {
		if err := m.holder.Reconcile(t.Context(), want); err != nil {
			t.Fatal(err)
		}
	}
	round(a, elastic)
	round(b, elastic) // observes a's first grant
	round(a, 0)
	c.Advance(2 * (ttl + bound))
	round(a, elastic)
	round(b, elastic)
	if got := a.holder.ElasticLimit() + b.holder.ElasticLimit(); got > elastic {
		t.Errorf("a and b have %d together, want at most %d", got, elastic)
	}
}

// TestLongerRequestsNeedNewGrant raises the longest request duration. The holder must not use
// its grant until the stored value contains the new duration: others would reuse the grant
// while its longer requests still run.
func TestLongerRequestsNeedNewGrant(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	m := newMember(memory.New(c), c, "a")
	if err := m.holder.Reconcile(t.Context(), elastic); err != nil {
		t.Fatal(err)
	}
	m.holder.SetMaxRequestTime(2 * bound)
	if got := m.holder.ElasticLimit(); got != 0 {
		t.Errorf("%d connections are allowed before the value contains the new duration, want none", got)
	}
	if err := m.holder.Reconcile(t.Context(), elastic); err != nil {
		t.Fatal(err)
	}
	if got := m.holder.ElasticLimit(); got != elastic {
		t.Errorf("got %d after renewal, want %d", got, elastic)
	}
}

// Guards against a grant that is reused while its holder may still use it, because the holder's lease
// is longer than that of the one that reuses it, as while two versions run side by side.
func TestGrantWithLongerLeaseExpiresLater(t *testing.T) {
	const longTTL = 4 * ttl
	c := clock.NewFake(time.Unix(0, 0))
	store := memory.New(c)
	unused := func() int { return 0 }
	a := share.New(store, c, "zone-a", "a", elastic, unused, share.WithTTL(longTTL), share.WithMaxRequestTime(bound))
	b := newMember(store, c, "b")
	if err := a.Reconcile(t.Context(), elastic); err != nil {
		t.Fatal(err)
	}
	for at := time.Duration(0); at < 2*(longTTL+bound); at += 5 * time.Second {
		if err := b.holder.Reconcile(t.Context(), elastic); err != nil {
			t.Fatal(err)
		}
		got := b.holder.ElasticLimit()
		if got != 0 && at <= longTTL+bound {
			t.Fatalf("b got %d after %v, while a's requests may still run", got, at)
		}
		c.Advance(5 * time.Second)
	}
	if got := b.holder.ElasticLimit(); got != elastic {
		t.Errorf("b has %d long after a's grant expired, want %d", got, elastic)
	}
}
