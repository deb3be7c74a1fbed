package peerlease

import (
	"fmt"
	"hash/maphash"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// This file explores models: all states up to a depth, breadth first, and random walks beyond.

// longRunEnv names the environment variable that sets how many states of each model a longer run by
// hand visits, about 1 KB of memory each.
const longRunEnv = "POINTPORT_MODEL_STATES"

// A model is a transition system over states S with labelled steps L.
type model[S comparable, L fmt.Stringer] interface {
	initial() S
	// next calls emit for each step that is possible in s, always in the same order.
	next(s S, emit func(L, S))
	// violation describes how s breaks an invariant, or returns an empty string.
	violation(s S) string
}

// A result is the outcome of an exploration.
type result struct {
	states, depth int
	complete      bool // all reachable states were visited
	violation     string
	trace         []string
}

func (r result) String() string {
	s := fmt.Sprintf("%d states, depth %d, complete %v", r.states, r.depth, r.complete)
	if r.violation != "" {
		s += "\nviolation: " + r.violation + "\n  " + strings.Join(r.trace, "\n  ")
	}
	return s
}

// A visit records how a state was reached.
type visit[L any] struct {
	parent int32
	label  L
}

// explore visits all states that can be reached in at most depth steps, and stops at the first
// violation or when it has visited maxStates. The visited set holds 64-bit hashes.
func explore[S comparable, L fmt.Stringer](m model[S, L], depth, maxStates int) result {
	type node struct {
		state S
		id    int32
	}
	seed := maphash.MakeSeed()
	seen := map[uint64]struct{}{}
	var visits []visit[L]
	var found result
	add := func(s S, parent int32, l L) (int32, bool) {
		h := maphash.Comparable(seed, s)
		if _, ok := seen[h]; ok {
			return 0, false
		}
		seen[h] = struct{}{}
		id := int32(len(visits))
		visits = append(visits, visit[L]{parent, l})
		if v := m.violation(s); v != "" && found.violation == "" {
			found.violation, found.trace = v, traceOf(visits, id)
		}
		return id, true
	}
	var none L
	id, _ := add(m.initial(), -1, none)
	level := []node{{m.initial(), id}}
	for d := 0; ; d++ {
		found.depth, found.states = d, len(visits)
		if found.complete = len(level) == 0; found.complete {
			return found
		}
		if found.violation != "" || d == depth || len(visits) >= maxStates {
			return found
		}
		var following []node
		for _, n := range level {
			m.next(n.state, func(l L, s S) {
				if id, added := add(s, n.id, l); added {
					following = append(following, node{s, id})
				}
			})
			if found.violation != "" {
				break
			}
		}
		level = following
	}
}

// traceOf returns the steps that lead to a visited state.
func traceOf[L fmt.Stringer](visits []visit[L], id int32) []string {
	var out []string
	for ; visits[id].parent >= 0; id = visits[id].parent {
		out = append([]string{visits[id].label.String()}, out...)
	}
	return out
}

// walk takes random steps and fails at the first violation.
func walk[S comparable, L fmt.Stringer](t *rapid.T, m model[S, L], steps int) {
	type successor struct {
		label L
		state S
	}
	s := m.initial()
	var trace []string
	for range steps {
		var all []successor
		m.next(s, func(l L, n S) { all = append(all, successor{l, n}) })
		if len(all) == 0 {
			return
		}
		c := all[rapid.IntRange(0, len(all)-1).Draw(t, "step")]
		s, trace = c.state, append(trace, c.label.String())
		if v := m.violation(s); v != "" {
			t.Fatalf("violation: %s\n  %s", v, strings.Join(trace, "\n  "))
		}
	}
}

// boundsOf returns the depth of an exploration, which is less under the race detector, and no bound
// on its states; or the bound of a longer run by hand, and no depth.
func boundsOf(t *testing.T, depth, underRace int) (maxDepth, maxStates int) {
	t.Helper()
	if v := os.Getenv(longRunEnv); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			t.Fatalf("%s: %v", longRunEnv, err)
		}
		return math.MaxInt, n
	}
	if raceEnabled {
		return underRace, math.MaxInt
	}
	return depth, math.MaxInt
}
