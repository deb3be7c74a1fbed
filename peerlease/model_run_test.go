package peerlease

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/pointport/pointport/internal/fixedseed"
)

// This file runs the model of a pool and its members.

// slowOwner are clocks by which the first owner counts 2% less than passes, and others 2% more.
var slowOwner = [members]int16{49, 51, 51}

// all are the processes of all members.
const all procSet = 1<<(members*2+1) - 1

// Processes by their names in traces.
const (
	procA procID = 1
	procB procID = 3
	procC procID = 5
)

// scenarios are the parts of the model that are explored. The first owner is A.
var scenarios = map[string]options{
	"standby and newcomer": {standbys: setOf(procB), messages: 2, maxRevision: 3, takers: all, releases: true},
	"restarts":             {standbys: setOf(procB), messages: 2, maxRevision: 2, takers: all, restarts: 2},
	"another list":         {standbys: setOf(procB), messages: 2, maxRevision: 3, takers: all, rewrites: 2},
	"two standbys":         {standbys: setOf(procB, procC), lists: listAll, messages: 2, maxRevision: 3, takers: all},
	"unrecorded starts":    {standbys: setOf(procB), messages: 2, maxRevision: 3, takers: all, starts: true, releases: true, rewrites: 1},
	"restart, newcomer":    {standbys: setOf(procB), messages: 2, maxRevision: 2, takers: setOf(procC), restarts: 1},
	"two successors":       {standbys: setOf(procB), messages: 1, maxRevision: 3, takers: setOf(procB, procC), starts: true},
	"newcomer for long":    {standbys: setOf(procB), lists: listFirst, messages: 1, maxRevision: 3, takers: setOf(procA, procC)},
}

// depths are how many steps of each scenario are explored in full, with and without the race
// detector.
var depths = map[string]struct{ plain, race int }{
	"standby and newcomer": {12, 7},
	"restarts":             {10, 7},
	"another list":         {11, 7},
	"two standbys":         {11, 7},
	"unrecorded starts":    {11, 7},
	"restart, newcomer":    {13, 8},
	"two successors":       {16, 9},
	"newcomer for long":    {24, 12},
}

// TestOnePoolOwner guards against two processes that act as owner of a pool at once, and against a
// successor that takes unrecorded starts for recorded, in all interleavings to the scenario's depth.
func TestOnePoolOwner(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		o := scenarios[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.rates = slowOwner
			begin := time.Now()
			depth, states := boundsOf(t, depths[name].plain, depths[name].race)
			r := explore[world, step](o, depth, states)
			t.Logf("%v, %v", r, time.Since(begin))
			if r.violation != "" {
				t.Error("the model breaks an invariant")
			}
		})
	}
}

// TestOnePoolOwnerRandomWalks checks longer series of steps, with more messages on their way, more
// ownerships, any clocks, and shorter steps of time.
func TestOnePoolOwnerRandomWalks(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		o := scenarios[name]
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				o := o
				o.messages, o.maxRevision, o.finer = 4, 8, rapid.Bool().Draw(t, "finer")
				for m := range o.rates {
					o.rates[m] = rapid.Int16Range(tick-1, tick+1).Draw(t, "rate")
				}
				walk[world, step](t, o, 150)
			})
		})
	}
}

// mutants take guards out of scenarios. In each, the model must find a violation.
var mutants = []struct {
	guard, scenario string
	remove          func(*options)
}{
	{"owner counts a lease for less time than the standby", "newcomer for long", func(o *options) {
		o.ownerCountsAsLong, o.takers, o.messages = true, setOf(procB), 2
	}},
	{"owner counts a lease from its request", "newcomer for long", func(o *options) {
		o.ownerCountsFromAnswer, o.takers, o.messages = true, setOf(procB), 2
	}},
	{"owner's clock goes on while it is suspended", "newcomer for long", func(o *options) {
		o.ownerClockStops, o.takers, o.messages = true, setOf(procB), 2
	}},
	// Each of these three guards alone is enough here; that after the transaction is needed where
	// the taker releases the pool again.
	{"member grants nothing once it takes the pool, or checks again", "newcomer for long", func(o *options) {
		o.grantsWhileTaking, o.grantsAfterTransaction, o.noSecondCheck = true, true, true
		o.takers, o.messages = setOf(procB), 2
	}},
	{"member grants nothing to a former owner after a takeover transaction", "standby and newcomer", func(o *options) {
		o.grantsAfterTransaction, o.lists, o.takers = true, listFirst, setOf(procB, procC)
	}},
	{"standby grants nothing to a former owner after it allowed a takeover", "standby and newcomer", func(o *options) { o.grantsAfterAllowed = true }},
	{"process grants nothing that an earlier one was asked for", "restarts", func(o *options) {
		o.grantsForEarlierProcess, o.restarts, o.takers = true, 1, setOf(procC)
	}},
	{"taker waits for its own promise", "standby and newcomer", func(o *options) { o.ignoresOwnPromise = true }},
	{"taker waits for the promise of a standby that answers", "standby and newcomer", func(o *options) { o.ignoresPromiseOfAnswer = true }},
	{"newcomer asks", "standby and newcomer", func(o *options) { o.newcomerDoesNotAsk = true }},
	{"restarted standby waits", "restarts", func(o *options) { o.restartDoesNotWait = true; o.restarts = 1 }},
	{"answer of a restarted standby frees the pool a second later", "restarts", func(o *options) {
		o.restartedFreeAtOnce, o.restarts, o.takers = true, 1, setOf(procC)
	}},
	{"pending list is asked", "another list", func(o *options) {
		o.pendingNotNeeded, o.rewrites, o.takers = true, 1, setOf(procC)
	}},
	{"earlier pending list is asked", "another list", func(o *options) {
		o.forgetsEarlierList, o.takers = true, setOf(procC)
	}},
	{"ownership that is found again stores its list first", "another list", func(o *options) {
		o.trustsFoundOwnership, o.rewrites, o.takers = true, 1, setOf(procA, procC)
	}},
	{"read that shows the earlier list does not end a change", "another list", func(o *options) {
		o.readEndsChange, o.rewrites, o.takers = true, 1, setOf(procC)
	}},
	{"whole time is limited", "newcomer for long", func(o *options) { o.noLimit = true }},
	{"takeover depends on the standby key", "standby and newcomer", func(o *options) {
		o.noStandbyCondition, o.releases, o.lists = true, false, listFirst
		o.takers = setOf(procA, procC)
	}},
	{"time of a vacancy is that of its document", "newcomer for long", func(o *options) { o.sinceIsKept = true }},
	{"owner does not say that it has released the pool", "standby and newcomer", func(o *options) { o.releasedWhileOwning = true }},
	{"no new list while a start is unrecorded", "unrecorded starts", func(o *options) {
		o.rewritesWhileUnrecorded, o.releases, o.takers = true, false, setOf(procC)
	}},
	{"document says that earlier starts may be unrecorded", "unrecorded starts", func(o *options) {
		o.documentForgets, o.releases, o.rewrites = true, false, 0
		o.takers, o.messages = setOf(procB, procC), 1
	}},
	{"no release while a start is unrecorded", "unrecorded starts", func(o *options) { o.releasesWhileUnrecorded = true }},
	{"former owner says whether its starts are recorded", "unrecorded starts", func(o *options) {
		o.formerOwnerSaysRecorded, o.releases, o.rewrites, o.takers = true, false, 0, setOf(procC)
	}},
	{"standby says that it has granted a lease", "unrecorded starts", func(o *options) {
		o.standbyForgetsItsPromise, o.releases, o.rewrites, o.takers = true, false, 0, setOf(procB)
	}},
}

// mutantStates bounds the search for a violation. Under the race detector, which makes it ten times
// as long, violations beyond raceMutantStates are not looked for.
const (
	mutantStates     = 2_000_000
	raceMutantStates = 20_000
)

// TestOnePoolOwnerNeedsItsGuards guards against a model that finds nothing: without a guard it must
// find a violation, and logs the shortest trace.
func TestOnePoolOwnerNeedsItsGuards(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.guard, func(t *testing.T) {
			t.Parallel()
			o := scenarios[m.scenario]
			o.rates = slowOwner
			m.remove(&o)
			begin := time.Now()
			states := mutantStates
			if raceEnabled {
				states = raceMutantStates
			}
			r := explore[world, step](o, math.MaxInt, states)
			t.Logf("%v, %v", r, time.Since(begin))
			if r.violation == "" && !raceEnabled {
				t.Error("the model does not need the guard")
			}
		})
	}
}
