package node_test

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file plays scripts of random jobs and faults on clusters.

// checkScripts plays scripts on clusters with the default options.
func checkScripts(t *testing.T, draw func(*rapid.T) script) { checkScriptsWith(t, draw) }

// checkScriptsWith draws scripts and plays them at the same time, each on a cluster of its own with the
// given options. If any fail, rapid shrinks the first of them.
func checkScriptsWith(t *testing.T, draw func(*rapid.T) script, kind ...clusterOption) {
	var scripts []script
	rapid.Check(t, func(rt *rapid.T) { scripts = append(scripts, draw(rt)) })
	violations := make([][]string, len(scripts)) // of each play, nil if the script was not played
	t.Run("plays", func(t *testing.T) {
		for n := range scripts {
			t.Run(fmt.Sprint(n+1), func(t *testing.T) {
				t.Parallel()
				violations[n] = scripts[n].playAlone(t, kind)
				for _, v := range violations[n] {
					t.Error(v)
				}
			})
		}
	})
	t.Run("shrink", func(t *testing.T) {
		failed := false
		rapid.Check(t, func(rt *rapid.T) {
			s := draw(rt)
			wrong := violationsOf(s, scripts, violations)
			if failed || wrong == nil {
				wrong = s.playAlone(t, kind)
			}
			for _, w := range wrong {
				rt.Error(w)
				failed = true
			}
		})
	})
}

// violationsOf returns the violations of a script among those that were drawn before, nil if it was not
// played.
func violationsOf(s script, scripts []script, violations [][]string) []string {
	n := slices.IndexFunc(scripts, func(o script) bool { return reflect.DeepEqual(o, s) })
	if n < 0 {
		return nil
	}
	return violations[n]
}

// playAlone plays a script on a cluster of its own and returns the violations, which is not nil.
func (s *script) playAlone(t *testing.T, kind []clusterOption) []string {
	violations := []string{}
	synctest.Test(t, func(t *testing.T) {
		options := append([]clusterOption{withWork(s.workOf)}, kind...)
		if !s.enforceCapacity {
			options = append(options, withoutCapacityEnforcement())
		}
		if s.longLeases {
			options = append(options, withMaxHold(testbed.MaxHold), withLinger(registrationLinger))
		}
		c := newCluster(t, options...)
		c.listLag, c.listExtraLag = s.listLag, s.listExtraLag
		// The steward is tested elsewhere. It compares the times of day of different
		// members, and here a machine that was suspended keeps a wrong time of day.
		c.looseClocks, c.noSteward = s.handover, s.handover
		violations = append(violations, s.play(c)...)
		c.close()
	})
	return violations
}

// play runs a script on a cluster and returns the violations.
func (s *script) play(c *cluster) []string {
	names := []string{"n0", "n1", "n2"}
	if s.handover {
		names = names[:1]
	}
	for _, name := range names {
		c.start(name)
	}
	time.Sleep(2 * time.Second)
	defer c.checkIdleJobs()()
	begun := time.Now()
	p := &play{cluster: c, script: s, accepted: make([]atomic.Bool, len(s.jobs)), cancelled: make([]atomic.Bool, len(s.jobs)), storeWatches: make(map[string]func(node, op, key string))}
	if s.handover {
		p.faultRules = &faultRules{}
		p.faultRules.install(c)
	}
	var all sync.WaitGroup
	for n := len(names); n < len(p.busy); n++ {
		p.busy[n].Store(true)
		all.Go(func() { p.join(n, s.joins[n-1]) })
	}
	for n := range s.jobs {
		all.Go(func() { p.submit(n) })
	}
	for n, at := range s.cancels {
		all.Go(func() { p.cancelLater(n, at) })
	}
	for _, scripted := range s.faults {
		all.Go(func() { p.inject(scripted) })
	}
	time.Sleep(scriptTime + 7*time.Second - time.Since(begun))
	all.Wait()
	c.setStoreFault(noStoreFault)
	c.setNetwork(testbed.Reliable)
	for _, id := range c.fleet.IDs() {
		c.fleet.SetFailing(id, false)
	}
	return p.waitUntilSettled()
}

// A play is a running script.
type play struct {
	cluster             *cluster
	script              *script
	accepted, cancelled []atomic.Bool
	busy                [3]atomic.Bool // nodes that are down or about to be stopped
	faultRules          *faultRules    // nil if the faults are not those of handovers
	// storeWatches holds what is called with each store call, by pool; guarded by cluster.mu.
	storeWatches map[string]func(node, op, key string)
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// anyNode returns a node that is running and has a configuration.
func (p *play) anyNode(n int) *running {
	c := p.cluster
	for i := range 3 {
		c.mu.Lock()
		r := c.nodes[fmt.Sprintf("n%d", (n+i)%3)]
		c.mu.Unlock()
		// A paused node may be returned; it answers once it resumes.
		if r != nil && r.node.Catalog() != nil {
			return r
		}
	}
	return nil
}

// submit submits a job and retries until it is accepted, as a customer would.
func (p *play) submit(n int) {
	time.Sleep(p.script.starts[n])
	for try := range 400 {
		if r := p.anyNode(n + try); r != nil {
			q := p.queue(r, n)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			err := r.node.Intake().Submit(ctx, q, jobID(n), p.script.jobs[n])
			cancel()
			if err == nil {
				p.cluster.fleet.NoteAccepted(jobID(n), q, "", p.script.jobs[n])
				p.accepted[n].Store(true)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *play) queue(r *running, n int) *workload.Queue {
	k := r.node.Catalog()
	return &k.Queues[n%len(k.Queues)]
}

func (p *play) cancelLater(n int, at time.Duration) {
	time.Sleep(at)
	for try := range 400 {
		if r := p.anyNode(n + try); r != nil && p.accepted[n].Load() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			p.cluster.fleet.NoteCancelRequested(jobID(n))
			err := r.node.Intake().Cancel(ctx, p.queue(r, n), jobID(n))
			cancel()
			if err == nil {
				p.cluster.noteCancelled(jobID(n))
				p.cancelled[n].Store(true)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
