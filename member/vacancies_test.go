package member_test

import (
	"context"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/peerlease"
)

// This file tests when a member takes a pool whose owner may hold peer leases.

// documentOf returns a document whose owner and standbys are at the addresses that are their names.
func documentOf(owner peerlease.Process, standbys ...peerlease.Process) peerlease.Document {
	return peerlease.NewDocument(owner, 7, standbys, leaseLimit, member.DefaultTTL)
}

// process returns a process that no member of the cluster is.
func process(name string) peerlease.Process {
	return peerlease.Process{Name: name, Peer: name, ID: "process of " + name}
}

// fakeAnswer returns a function that gives one answer.
func fakeAnswer(kind peerlease.AnswerKind, name string, remaining time.Duration, recorded bool) func(pointport.TakeoverRequest) pointport.TakeoverReply {
	return func(pointport.TakeoverRequest) pointport.TakeoverReply {
		return pointport.TakeoverReply{Kind: string(kind), Name: name, Remaining: remaining, Recorded: recorded}
	}
}

// TestTakeoverWaitsForTheFormerOwner guards against a pool that is taken while its former owner may
// hold peer leases, and against one that stays without an owner although the answers free it.
func TestTakeoverWaitsForTheFormerOwner(t *testing.T) {
	const soon = 500 * time.Millisecond // the rank, and the time for answers
	owner, standby := process("x1"), process("x2")
	type answers = map[string]func(pointport.TakeoverRequest) pointport.TakeoverReply
	for name, tt := range map[string]struct {
		document   peerlease.Document
		answers    answers
		from, to   time.Duration
		unrecorded bool
	}{
		"nobody answers":          {documentOf(owner, standby), nil, 10400 * time.Millisecond, 10600*time.Millisecond + soon, true},
		"owner has released":      {documentOf(owner, standby), answers{"x1": fakeAnswer(peerlease.AnswerReleased, "x1", 0, true)}, 0, soon, false},
		"owner has unrecorded":    {documentOf(owner, standby), answers{"x1": fakeAnswer(peerlease.AnswerReleased, "x1", 0, false)}, 0, soon, true},
		"owner has restarted":     {documentOf(owner, standby), answers{"x1": fakeAnswer(peerlease.AnswerRestarted, "x1", 0, false)}, 0, soon, true},
		"owner holds":             {documentOf(owner, standby), answers{"x1": fakeAnswer(peerlease.AnswerHolds, "x1", 0, false)}, 10400 * time.Millisecond, 10600*time.Millisecond + soon, true},
		"another has the address": {documentOf(owner, standby), answers{"x1": fakeAnswer(peerlease.AnswerRestarted, "x9", 0, false)}, 10400 * time.Millisecond, 10600*time.Millisecond + soon, true},
		"standby never granted":   {documentOf(owner, standby), answers{"x2": fakeAnswer(peerlease.AnswerAllowed, "x2", 0, true)}, 0, soon, false},
		"standby has granted":     {documentOf(owner, standby), answers{"x2": fakeAnswer(peerlease.AnswerAllowed, "x2", 800*time.Millisecond, false)}, 800 * time.Millisecond, 800*time.Millisecond + soon, true},
		"standby has restarted":   {documentOf(owner, standby), answers{"x2": fakeAnswer(peerlease.AnswerRestarted, "x2", 0, false)}, time.Second, time.Second + soon, true},
		"former owner's machine":  {documentOf(peerlease.Process{Name: "a1", Peer: "a1", ID: "earlier"}, standby), nil, 0, soon, true},
		"same, standby recorded":  {documentOf(peerlease.Process{Name: "a1", Peer: "a1", ID: "earlier"}, standby), answers{"x2": fakeAnswer(peerlease.AnswerAllowed, "x2", 0, true)}, 0, soon, false},
		"standby's machine":       {documentOf(owner, peerlease.Process{Name: "a1", Peer: "a1", ID: "earlier"}), nil, 0, soon, true},
	} {
		t.Run(name, func(t *testing.T) {
			simulateLeases(t, leaseLimit, []string{"a1"}, func(c *leaseCluster) {
				c.mu.Lock()
				c.fakes = tt.answers
				c.mu.Unlock()
				c.abandon("r", tt.document)
				if took := c.timeToTake("r"); took < tt.from || took > tt.to {
					t.Errorf("the pool was taken after %v, want %v to %v", took, tt.from, tt.to)
				}
				if got := c.ownership("r").PredecessorUnrecorded(); got != tt.unrecorded {
					t.Errorf("PredecessorUnrecorded is %v, want %v", got, tt.unrecorded)
				}
			})
		})
	}
}

// TestRestartedStandbyWaitsASecond guards against a new process of a standby that takes the pool
// while what its former process has granted may last.
func TestRestartedStandbyWaitsASecond(t *testing.T) {
	simulateLeases(t, leaseLimit, []string{"b1"}, func(c *leaseCluster) {
		d := documentOf(process("x1"), peerlease.Process{Name: "a1", Peer: "a1", ID: "earlier"})
		c.kill("b1")
		c.abandon("r", d)
		started := time.Now()
		c.start("a1")
		c.timeToTake("r")
		if took := time.Since(started); took < time.Second || took > 1500*time.Millisecond {
			t.Errorf("the pool was taken %v after the start, want a second", took)
		}
	})
}

// outageWithoutOwnerKey makes the store unavailable until the owner of p acts by peer leases alone,
// and removes the owner key. It returns the owner.
func outageWithoutOwnerKey(c *leaseCluster) string {
	first := c.owner("p")
	c.loseStore(everyone)
	time.Sleep(400 * time.Millisecond)
	for !c.ownership("p").PeerLeased() {
		time.Sleep(10 * time.Millisecond)
	}
	c.store.ExpireKey(member.OwnerKey("p"))
	return first
}

// TestStandbyWaitsForItsOwnPromise guards against a standby that takes a pool while the owner that is
// still cut off from the store holds its lease.
func TestStandbyWaitsForItsOwnPromise(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		first := outageWithoutOwnerKey(c)
		c.loseStore(func(name string) bool { return name == first })
		time.Sleep(3500 * time.Millisecond)
		if now := c.owner("p"); now == first {
			t.Error("the isolated owner still acts")
		}
		if !c.ownership("p").PredecessorUnrecorded() {
			t.Error("a standby that granted a lease takes the starts of the owner for recorded")
		}
	})
}

// TestUnsettledStartsAreInherited guards against starts of an owner that are forgotten because its
// successor ends before it has settled them: the standbys of the successor never granted it a lease.
func TestUnsettledStartsAreInherited(t *testing.T) {
	simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
		c.loseStore(everyone)
		time.Sleep(2 * time.Second)
		c.kill(c.owner("p"))
		c.loseStore(noOne)
		time.Sleep(4 * time.Second)
		for range 2 { // successors that end before they have settled anything
			if !c.ownership("p").PredecessorUnrecorded() {
				t.Fatal("a successor takes the starts of the owner before it for recorded")
			}
			c.kill(c.owner("p"))
			time.Sleep(3 * time.Second)
		}
		c.ownership("p").NoteUnrecorded(false)
		time.Sleep(1100 * time.Millisecond)
		c.kill(c.owner("p"))
		time.Sleep(3 * time.Second)
		if c.ownership("p").PredecessorUnrecorded() {
			t.Error("starts that are settled are taken for unrecorded")
		}
	})
}

// TestReleaseKeepsUnrecordedStarts guards against a release that deletes the only hint at starts that
// are not recorded.
func TestReleaseKeepsUnrecordedStarts(t *testing.T) {
	for name, unrecorded := range map[string]bool{"recorded": false, "unrecorded": true} {
		t.Run(name, func(t *testing.T) {
			simulateLeases(t, leaseLimit, sixMembers, func(c *leaseCluster) {
				own, first := c.ownership("p"), c.owner("p")
				own.NoteUnrecorded(unrecorded)
				c.mu.Lock()
				m := c.members[first]
				c.mu.Unlock()
				m.manager.Stop()
				if err := m.roster.Release(context.Background(), own); err != nil {
					t.Fatal(err)
				}
				if _, ok := c.document("p"); ok != unrecorded {
					t.Errorf("there is a standby key: %v, want %v", ok, unrecorded)
				}
			})
		})
	}
}
