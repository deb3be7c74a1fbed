package member_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
)

// This file tests how a keeper looks after the pools that it owns.

// A tenant does nothing until it is stopped.
type tenant struct {
	own  member.Ownership
	done chan struct{}
	stop context.CancelFunc
}

func newTenant(own member.Ownership) *tenant {
	ctx, stop := context.WithCancel(context.Background())
	return &tenant{own, doneOf(ctx), stop}
}

func doneOf(ctx context.Context) chan struct{} {
	done := make(chan struct{})
	go func() {
		<-ctx.Done()
		close(done)
	}()
	return done
}

func (t *tenant) Ownership() member.Ownership { return t.own }
func (t *tenant) Stop()                       { t.stop() }
func (t *tenant) Done() <-chan struct{}       { return t.done }
func (t *tenant) Err() error                  { return context.Canceled }

// Two pools stay proven without a break while nothing is written and the store takes
// its time; a pool that is unproven stands still.
func TestOwnershipStaysProvenOnASlowStore(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				kv := memory.New(clock.System{}).KV(memory.WithLatency(latency))
				s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
				r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: "a", Strength: 1}, quiet)
				pools := func() []string { return []string{"p", "q"} }
				k := member.StartKeeper(ctx, clock.System{}, s, r, pools, newTenant, quiet)
				time.Sleep(3 * time.Second)
				unproven := 0
				const samples = 1000
				for range samples {
					time.Sleep(10 * time.Millisecond)
					for _, pool := range pools() {
						if own, ok := k.Tenant(pool); !ok || !own.Ownership().Proven() {
							unproven++
						}
					}
				}
				if unproven > 0 {
					t.Errorf("unproven in %d of %d samples", unproven, 2*samples)
				}
				k.Stop()
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}
