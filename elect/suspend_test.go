package elect_test

import (
	"context"
	"testing"
	"time"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/elect"
)

// alwaysGranted grants every lease.
type alwaysGranted struct{}

func (alwaysGranted) Lease(context.Context, string, string, time.Duration) error { return nil }
func (alwaysGranted) Release(context.Context, string, string) error              { return nil }

// TestLeaseEndsWhileItsHolderIsSuspended guards against a holder that relies on a lease that
// expired while its machine was suspended, because the process's own clock hardly advances
// during a suspension.
func TestLeaseEndsWhileItsHolderIsSuspended(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	candidate := elect.Start(ctx, alwaysGranted{}, c, "planner", "me", time.Minute)
	for end := time.Now().Add(5 * time.Second); !candidate.Held() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if !candidate.Held() {
		t.Fatal("the lease is not held")
	}
	c.Suspend(time.Hour)
	if candidate.Held() {
		t.Error("the lease is held after a suspension of an hour")
	}
}
