package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/memory"
)

// The evacuation requests are read only while Zones is called: not before the first call, and
// not after a while without calls. When it is called again, the requests are read anew, and
// until then the old result must not be returned.
func TestEvacuationsAreReadOnlyWhileUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.New(clock.System{})
		var reads atomic.Int64
		kv := store.KV(memory.WithFaults(func(op, _ string) memory.Fault {
			if op == "range" {
				reads.Add(1)
			}
			return memory.FaultNone
		}), memory.WithLatency(time.Millisecond))
		source := Source[evacuation.Request]{Prefix: "evacuate/", Decode: func(e pointport.Entry) (evacuation.Request, error) {
			return evacuation.Request{Zone: pointport.ZoneID(e.Key()[len("evacuate/"):]), Revision: e.Revision()}, nil
		}}
		e := newEvacuations(ctx, kv, clock.System{}, source, DefaultEvacuationTime, slog.New(slog.DiscardHandler))
		time.Sleep(10 * time.Second)
		if got := reads.Load(); got != 0 {
			t.Errorf("%d reads before the first call of Zones", got)
		}
		for range 100 {
			e.Zones()
			time.Sleep(100 * time.Millisecond)
		}
		if got := reads.Load(); got < 9 || got > 11 {
			t.Errorf("%d reads in 10 s, want one a second", got)
		}
		time.Sleep(evacuationIdleTimeout + time.Second)
		before := reads.Load()
		if _, err := store.KV().Commit(ctx, pointport.Txn{Put: []pointport.Put{{Key: "evacuate/north"}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if got := reads.Load() - before; got != 0 {
			t.Errorf("%d reads without a call of Zones", got)
		}
		if got := e.Zones().State("north"); got != evacuation.Unknown {
			t.Errorf("after a minute without a read the zone is %v, want it unknown", got)
		}
		time.Sleep(10 * time.Millisecond)
		if got := e.Zones().State("north"); got != evacuation.Evacuated {
			t.Errorf("the zone is %v after the next read, want it evacuated", got)
		}
		cancel()
		synctest.Wait()
	})
}
