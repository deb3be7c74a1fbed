package member_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/member"
)

// This file tests owners that go on by peer leases, and what ends that.

var sixMembers = []string{"a1", "a2", "a3", "b1", "b2", "c1"}

// TestOwnersStayProvenWhileStoreIsDownForAll guards against an owner that stops while the store is
// unavailable to everyone, or that loses its pool to another member afterwards.
func TestOwnersStayProvenWhileStoreIsDownForAll(t *testing.T) {
	for phase := range 10 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
				time.Sleep(time.Duration(phase) * 50 * time.Millisecond)
				before := map[string]string{"p": c.owner("p"), "q": c.owner("q")}
				c.reset()
				c.loseStore(everyone)
				time.Sleep(5 * time.Second)
				for _, pool := range c.pools {
					if unproven, _ := c.counts(pool); unproven > 0 {
						t.Errorf("nobody acted for pool %s for %v of the outage", pool, unproven)
					}
				}
				c.loseStore(noOne)
				time.Sleep(4 * time.Second)
				for _, pool := range c.pools {
					unproven, changes := c.counts(pool)
					if now := c.owner(pool); now != before[pool] || changes > 1 {
						t.Errorf("pool %s is owned by %s after %d changes, was by %s", pool, now, changes, before[pool])
					}
					t.Logf("pool %s: nobody acted for %v after the outage", pool, unproven)
				}
			})
		})
	}
}

// TestPeerLeasesEndAtTheLimit guards against an owner that goes on without the store for longer
// than the bound after which other members take its pool.
func TestPeerLeasesEndAtTheLimit(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		c.loseStore(everyone)
		time.Sleep(leaseLimit + 400*time.Millisecond)
		if got := c.actingFor("p"); len(got) != 1 {
			t.Errorf("before the limit %v act, want one", got)
		}
		time.Sleep(700 * time.Millisecond)
		if got := c.actingFor("p"); len(got) != 0 {
			t.Errorf("after the limit %v act, want none", got)
		}
		c.loseStore(noOne)
		time.Sleep(5 * time.Second)
		c.owner("p")
	})
}

// TestOwnerThatAloneLosesTheStoreStops guards against standbys that keep an isolated owner alive
// although the store answers them.
func TestOwnerThatAloneLosesTheStoreStops(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		first := c.owner("p")
		c.loseStore(func(name string) bool { return name == first })
		time.Sleep(1100 * time.Millisecond)
		if slices.Contains(c.actingFor("p"), first) {
			t.Error("the owner acts although the store answers its standbys")
		}
		time.Sleep(time.Second)
		if now := c.owner("p"); now == first {
			t.Errorf("the pool is still owned by %s", now)
		}
	})
}

// TestSilentStandbyEndsTheProof guards against an owner that goes on without the lease of one
// standby.
func TestSilentStandbyEndsTheProof(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		d, _ := c.document("p")
		c.loseStore(everyone)
		time.Sleep(2 * time.Second)
		c.owner("p")
		c.cutOff(d.Standbys[0].Name)
		time.Sleep(time.Second)
		if got := c.actingFor("p"); len(got) != 0 {
			t.Errorf("%v act without the lease of standby %s", got, d.Standbys[0].Name)
		}
	})
}

// TestRestartedStandbyEndsTheProof guards against a lease of a new process of a standby, which does
// not know what the former one has promised.
func TestRestartedStandbyEndsTheProof(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		d, _ := c.document("p")
		c.loseStore(everyone)
		time.Sleep(2 * time.Second)
		c.kill(d.Standbys[0].Name)
		c.start(d.Standbys[0].Name)
		time.Sleep(time.Second)
		if got := c.actingFor("p"); len(got) != 0 {
			t.Errorf("%v act although a standby has another process", got)
		}
	})
}

// TestPoolOfOwnerKilledDuringOutageIsTaken guards against a pool that stays without an owner, or is
// taken by a member that is not a standby without asking one, after its owner was killed while it
// acted by peer leases.
func TestPoolOfOwnerKilledDuringOutageIsTaken(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		first := c.owner("p")
		c.loseStore(everyone)
		time.Sleep(3 * time.Second)
		c.kill(first)
		time.Sleep(2 * time.Second)
		c.loseStore(noOne)
		time.Sleep(4 * time.Second)
		if own := c.ownership("p"); own.PredecessorUnrecorded() != true {
			t.Error("the successor takes all starts of the killed owner for recorded, although its standbys granted leases")
		}
	})
}

// TestPlannedStopHandsOverAtOnce guards against a standby key that delays the takeover of a pool
// whose owner has stopped as planned, which takes a tenth of a second.
func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	for _, limit := range []time.Duration{0, leaseLimit} {
		t.Run(limit.String(), func(t *testing.T) {
			simulateLeases(t, limit, sixMembers, func(c *leaseCluster) {
				first := c.owner("p")
				c.mu.Lock()
				m := c.members[first]
				c.mu.Unlock()
				m.manager.Stop()
				m.roster.Leave()
				if err := m.session.End(context.Background()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(150 * time.Millisecond)
				if now := c.owner("p"); now == first {
					t.Error("the pool has not been handed over")
				}
				if c.ownership("p").PredecessorUnrecorded() {
					t.Error("the successor takes starts for unrecorded although no peer lease was granted")
				}
			})
		})
	}
}

// TestStandbysAreChosenFromSeveralZones guards against standbys that are all lost with one
// availability zone, and against an owner that is its own standby.
func TestStandbysAreChosenFromSeveralZones(t *testing.T) {
	simulateLeases(t, leaseLimit, []string{"a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3"}, func(c *leaseCluster) {
		for _, pool := range c.pools {
			d, _ := c.document(pool)
			zones := make(map[byte]int)
			for _, s := range d.Standbys {
				zones[s.Name[0]]++
				if s.Name == d.Name {
					t.Errorf("%s is the owner of %s and a standby", s.Name, pool)
				}
			}
			if zones['a'] != 2 || zones['b'] != 2 {
				t.Errorf("standbys of %s are %v, want two of each zone", pool, d.Standbys)
			}
		}
	})
}

// TestStandbysAreReplaced guards against a standby key that names a member that is gone or a former
// process for longer than a second after the roster shows it, so that the owner has no proof.
func TestStandbysAreReplaced(t *testing.T) {
	simulateLeases(t, leaseLimit, []string{"a1", "a2", "b1", "b2", "c1", "c2"}, func(c *leaseCluster) {
		d, _ := c.document("p")
		gone := d.Standbys[0]
		c.kill(gone.Name)
		time.Sleep(3*time.Second + 1100*time.Millisecond) // the longest lease of a member, and a second
		now, _ := c.document("p")
		if len(now.Standbys) != 4 || slices.Contains(now.Standbys, gone) {
			t.Errorf("standbys are %v, although %s is gone", now.Standbys, gone.Name)
		}
	})
}

// TestStandbysStayWhileStartsAreUnrecorded guards against a new standby, which never granted a
// lease, that tells a successor that all starts are recorded.
func TestStandbysStayWhileStartsAreUnrecorded(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		d, _ := c.document("p")
		own := c.ownership("p")
		own.NoteUnrecorded(true)
		c.kill(d.Standbys[0].Name)
		time.Sleep(6 * time.Second)
		if now, _ := c.document("p"); !slices.Equal(now.Standbys, d.Standbys) {
			t.Errorf("standbys were replaced by %v while a start was unrecorded", now.Standbys)
		}
		own.NoteUnrecorded(false)
		time.Sleep(1100 * time.Millisecond)
		if now, _ := c.document("p"); slices.Equal(now.Standbys, d.Standbys) {
			t.Error("standbys were not replaced although all starts are recorded")
		}
	})
}

// TestWriterCarriesStandbys guards against an extra write for a new list of standbys by an owner that
// writes anyway.
func TestWriterCarriesStandbys(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		d, _ := c.document("p")
		own := c.ownership("p")
		w := member.NewWriter(c.store.KV(), clock.System{}, own, quiet)
		if err := w.Open(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.kill(d.Standbys[0].Name)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if err := w.Commit(t.Context(), pointport.Txn{Put: []pointport.Put{{Key: "k", Value: []byte("v")}}}); err != nil {
				t.Fatal(err)
			}
			now, _ := c.document("p")
			if slices.Equal(now.Standbys, d.Standbys) {
				continue
			}
			head, err := c.store.KV().Get(t.Context(), member.HeadKey("p"))
			standby, err2 := c.store.KV().Get(t.Context(), member.StandbyKey("p"))
			if err != nil || err2 != nil || head.Revision() != standby.Revision() {
				t.Errorf("the standby key was written at %d, the last write was at %d", standby.Revision(), head.Revision())
			}
			return
		}
		t.Error("no write has carried the new list")
	})
}

// TestMemberOfEarlierVersionPreventsPeerLeases guards against an owner that relies on peer leases
// while a member could take its pool that knows nothing of them.
func TestMemberOfEarlierVersionPreventsPeerLeases(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		put := pointport.Put{Key: "roster/member/old", Value: []byte(`{"name":"old","peer":"old","zone":"d","strength":0.001}`)}
		if _, err := c.store.KV().Commit(t.Context(), pointport.Txn{Put: []pointport.Put{put}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1200 * time.Millisecond)
		if d, ok := c.document("p"); ok {
			t.Errorf("there is a standby key with %v", d.Standbys)
		}
		c.loseStore(everyone)
		time.Sleep(1100 * time.Millisecond)
		if got := c.actingFor("p"); len(got) > 0 {
			t.Errorf("%v act by peer leases", got)
		}
	})
}

// TestLimitZeroWritesNoStandbyKey guards against effects of peer leases that are switched off.
func TestLimitZeroWritesNoStandbyKey(t *testing.T) {
	simulateLeases(t, 0, sixMembers, func(c *leaseCluster) {
		if d, ok := c.document("p"); ok {
			t.Errorf("there is a standby key with %v", d.Standbys)
		}
		c.loseStore(everyone)
		time.Sleep(1100 * time.Millisecond)
		if got := c.actingFor("p"); len(got) > 0 {
			t.Errorf("%v act by peer leases", got)
		}
	})
}
