package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/pointport/pointport"
)

// This file defines faults between entries and instances that themselves keep running: disturbed
// connections between them, instances that stall, refuse orders or lose their registrations, a
// list of machines that lags, and entries that get little CPU time or whose log is not read.

var linkFaults = []fault{
	{"connections to an instance disturbed", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		id := s.drawInstance(r)
		s.setLinkMode(id, connMode(1+r.IntN(int(linkModes)-1)))
		time.Sleep(d)
		s.setLinkMode(id, passThrough)
	}},
	{"connections to some instances disturbed", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		mode := connMode(1 + r.IntN(int(linkModes)-1))
		ids := s.drawInstances(r)
		for _, id := range ids {
			s.setLinkMode(id, mode)
		}
		time.Sleep(d)
		for _, id := range ids {
			s.setLinkMode(id, passThrough)
		}
	}},
	{"instance stalls", func(s *soak, _ *testing.T, r *rand.Rand, _ time.Duration) {
		s.grid.Fleet().Stall(s.drawInstance(r), minStall+time.Duration(r.Int64N(int64(maxStall-minStall))))
	}},
	{"some instances stall", func(s *soak, _ *testing.T, r *rand.Rand, _ time.Duration) {
		for _, id := range s.drawInstances(r) {
			s.grid.Fleet().Stall(id, minStall+time.Duration(r.Int64N(int64(maxStall-minStall))))
		}
	}},
	{"some instances refuse orders", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		ids, percent := s.drawInstances(r), 20+r.IntN(80)
		for _, id := range ids {
			s.grid.SetRefusalPercent(id, percent)
		}
		time.Sleep(d)
		for _, id := range ids {
			s.grid.SetRefusalPercent(id, 0)
		}
	}},
	{"some instances refuse orders behind slow connections", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		ids, percent := s.drawInstances(r), 20+r.IntN(80)
		for _, id := range ids {
			s.setLinkMode(id, delayedPerConn)
			s.grid.SetRefusalPercent(id, percent)
		}
		time.Sleep(d)
		for _, id := range ids {
			s.setLinkMode(id, passThrough)
			s.grid.SetRefusalPercent(id, 0)
		}
	}},
	{"registration disappears", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		s.grid.Fleet().DropRegistration(s.drawInstance(r), d)
	}},
	{"some registrations disappear", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		for _, id := range s.drawInstances(r) {
			s.grid.Fleet().DropRegistration(id, d)
		}
	}},
	{"lag of the list of machines changes", func(s *soak, _ *testing.T, r *rand.Rand, _ time.Duration) {
		s.grid.SetListFaults(time.Duration(r.Int64N(int64(maxListLag))), time.Duration(r.Int64N(int64(maxListLatency))))
	}},
	{"entry gets little CPU time", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		s.drawEntry(r).throttle(d)
	}},
	{"log of an entry not read", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		e := s.drawEntry(r)
		e.pauseLog(d)
		time.Sleep(d)
		e.noteDisturbance()
	}},
}

// crashBriefly crashes single instances until ctx ends, each for so short a time that its loss may
// go unnoticed. Half of them keep their addressee. With more frequent crashes, the same tasks
// would be hit again and again and given up, as if they had caused the crashes.
func (s *soak) crashBriefly(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		id, downtime := s.drawInstance(r), minBriefDowntime+time.Duration(r.Int64N(int64(maxBriefDowntime-minBriefDowntime)))
		s.record("%s crashes and restarts after %v", id, downtime)
		s.grid.Fleet().Crash(id, downtime)
		time.Sleep(minBriefCrashInterval + time.Duration(r.Int64N(int64(maxBriefCrashInterval-minBriefCrashInterval))))
	}
}

const (
	// minBriefDowntime and maxBriefDowntime bound how long an instance is down in a brief crash.
	minBriefDowntime = 50 * time.Millisecond
	maxBriefDowntime = time.Second
	// minBriefCrashInterval and maxBriefCrashInterval bound the time between two brief crashes.
	minBriefCrashInterval = 2 * time.Second
	maxBriefCrashInterval = 5 * time.Second
	// minStall and maxStall bound how long an instance stalls: from less than the timeout of a
	// poll to more than the time by which a poll extends the lease.
	minStall = 300 * time.Millisecond
	maxStall = 5 * time.Second
	// maxListLag is the longest lag of the list of machines, and maxListLatency is the longest
	// time that the list takes to answer.
	maxListLag     = 3 * time.Second
	maxListLatency = time.Second
	// slowClockRate is the rate of the slowest clocks that the platform allows.
	slowClockRate = 0.98
	// throttlePause is how long a throttled entry is suspended at a time, and throttleRun is how
	// long it then runs.
	throttlePause = 200 * time.Millisecond
	throttleRun   = 50 * time.Millisecond
)

// drawInstance returns a random instance.
func (s *soak) drawInstance(r *rand.Rand) pointport.InstanceID {
	ids := s.grid.Fleet().IDs()
	return ids[r.IntN(len(ids))]
}

// drawInstances returns at least one and up to half of the instances at random.
func (s *soak) drawInstances(r *rand.Rand) []pointport.InstanceID {
	ids := s.grid.Fleet().IDs()
	r.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	return ids[:1+r.IntN(len(ids)/2)]
}

// slowClocksAndList makes the clocks of half of the instances slow and the list of machines lag.
func (s *soak) slowClocksAndList() {
	s.grid.SetListFaults(maxListLag, 0)
	for n, id := range s.grid.Fleet().IDs() {
		if n%2 == 0 {
			s.grid.Fleet().SetClockRate(id, slowClockRate)
		}
	}
}

// throttle lets the process run only for short intervals during d.
func (e *entry) throttle(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		e.signal(syscall.SIGSTOP, 0)
		time.Sleep(throttlePause)
		e.noteDisturbance()
		e.signal(syscall.SIGCONT, 0)
		time.Sleep(throttleRun)
	}
}

// addLink puts a proxy in front of an instance and returns the proxy's address.
func (s *soak) addLink(id pointport.InstanceID, address string) (string, error) {
	link, err := newProxy(address)
	if err != nil {
		return "", err
	}
	s.links[id] = link
	return link.address(), nil
}

// setLinkMode sets the mode of connections to an instance. While it is not passThrough, the fleet
// does not count the instance's answers as received.
func (s *soak) setLinkMode(id pointport.InstanceID, t connMode) {
	if t != passThrough {
		s.grid.Fleet().SetAnswersMayBeLost(id, true)
	}
	s.links[id].set(t)
	if t == passThrough {
		s.grid.Fleet().SetAnswersMayBeLost(id, false)
	}
}

func (s *soak) closeLinks() {
	for _, link := range s.links {
		link.close()
	}
}
