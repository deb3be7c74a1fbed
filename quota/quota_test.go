package quota_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/quota"
)

const name = "bistro"

var poolNames = []string{"shift", "payout", "tips"}

func cores(n int64) pointport.Shape { return milli(n * 1000) }

// TestCapFollowsDemand checks that a customer within its even parts stores nothing, that one
// whose tasks are all in one pool of three can use most of its cap there, and that the pool
// returns it when the tasks have moved to another pool.
func TestCapFollowsDemand(t *testing.T) {
	s := newSimulation(120_000, poolNames)
	for _, o := range s.owners {
		o.runs = []int64{8000}
		o.want(0)
	}
	s.settle()
	if s.revision != 0 {
		t.Errorf("%s was stored for a customer within its even parts, want nothing", s.value)
	}
	busy := s.owners[0]
	busy.want(200_000)
	s.settle()
	if got := busy.ledger.Allowed()[name].CPUMilli; got != 100_000 {
		t.Errorf("the pool with the demand may use %d millicores of 120 cores, want 100,000: all but the even parts of the other two", got)
	}
	busy.want(0)
	other := s.owners[1]
	other.want(200_000)
	s.settle()
	if got := other.ledger.Allowed()[name].CPUMilli; got < 99_000 {
		t.Errorf("the pool to which the demand has moved may use %d millicores, want at least 99,000", got)
	}
}

// TestLoweredCap lowers a cap below what is running. Nothing may start in any pool until enough
// tasks have ended; after that all pools may start tasks again.
func TestLoweredCap(t *testing.T) {
	s := newSimulation(120_000, poolNames)
	for _, o := range s.owners {
		for range 4 {
			o.runs = append(o.runs, 8000)
		}
		o.want(8000)
	}
	s.settle()
	for _, o := range s.owners {
		o.nextPolicy = quota.NewPolicy(o.policy, directory(cores(40)), poolNames, 2)
	}
	s.settle()
	for _, o := range s.owners {
		if got := o.ledger.Allowed()[name].CPUMilli; got != 0 {
			t.Errorf("pool %s may use %d millicores while 96 cores of 40 are running, want 0", o.pool, got)
		}
	}
	for _, o := range s.owners {
		o.runs = o.runs[:1]
		o.want(0)
	}
	s.settle()
	for _, o := range s.owners {
		if got := o.ledger.Allowed()[name].CPUMilli; got < 8_000 {
			t.Errorf("pool %s may use %d millicores while 24 cores of 40 are running, want at least 8,000", o.pool, got)
		}
	}
}

// FuzzAccount checks that no stored value makes the ledger panic or allow more than the cap or
// less than nothing. A value that cannot be decoded counts as no account.
func FuzzAccount(f *testing.F) {
	f.Add([]byte(`{"rows":{"shift":{"v":1,"held":{"cpuMilli":1,"memoryMiB":2,"accelerators":0}}}}`))
	f.Add([]byte(`{"rows":{"shift":{"v":1,"held":{"cpuMilli":-1}}}}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"rows":{"payout":{"held":{"cpuMilli":9223372036854775807}},"shift":{"held":{"cpuMilli":9223372036854775807}}}}`))
	f.Add([]byte(`{"rows":{"payout":{"held":{"cpuMilli":1e400}}}}`))
	f.Add([]byte(strings.Repeat(`{"rows":`, 10_001)))
	f.Fuzz(func(t *testing.T, value []byte) {
		l := quota.NewLedger("shift")
		l.SetPolicy(quota.NewPolicy(nil, directory(cores(8)), poolNames, 1))
		_ = l.Reset([]pointport.Entry{pointport.NewEntry(quota.Key(name), value, 1)})
		if got := l.Allowed()[name].CPUMilli; got < 0 || got > 8_000 {
			t.Errorf("account %s allows %d millicores of 8 cores", value, got)
		}
	})
}

// Guards against a cap that is exceeded, or never used again, because the sum of what the pools hold
// overflows.
func TestAccountsWithTooLargeRowsAreRejected(t *testing.T) {
	for _, component := range []string{"cpuMilli", "memoryMiB", "accelerators"} {
		l := quota.NewLedger("shift")
		l.SetPolicy(quota.NewPolicy(nil, directory(cores(8)), poolNames, 1))
		value := fmt.Appendf(nil, `{"rows":{"payout":{"v":1,"held":{%q:9223372036854775807}}}}`, component)
		if err := l.Reset([]pointport.Entry{pointport.NewEntry(quota.Key(name), value, 1)}); err == nil {
			t.Errorf("account %s: no error", value)
		}
	}
}
