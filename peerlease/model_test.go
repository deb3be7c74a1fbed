package peerlease

import (
	"fmt"
	"slices"
	"time"

	"github.com/pointport/pointport"
)

// This file models one pool, its members and the store as a transition system. Grants, Proof and
// Vacancy make the decisions; between decisions their fields are kept as plain values, with all
// times relative to the present.
//
// It models: processes that restart and lose their memory; members that are suspended between any
// two steps (they take none while time passes); clocks at different rates; a store that answers or
// not, for each member and at each step; owner keys that stay although their lease has run out;
// messages between members that are lost, late, or overtake each other; transactions that are
// carried out late, or whose answer is lost; rewritten lists of standbys; unrecorded starts. A cut
// between members is a loss of all their messages.
//
// It leaves out: refusals because the store answers (they end an ownership early, nothing
// depends on them), the time-outs of requests (an answer may come at any later time), the owner's
// proof by the store after its key is gone (instances' fences bound its effect, as without peer
// leases), and the content of the store other than the two keys.
//
// Time passes in steps of half a second. The proof by the store, the lease in the store and the
// limit of the peer leases are half a second each, so that explorations reach all deadlines.

const (
	unit     = 10 * time.Millisecond // of the times in a world
	tick     = 50                    // units of true time per step
	storeTTL = tick                  // of the proof by the store and of the lease in the store
	limit    = tick
	members  = 3
)

// pool is the name of the pool.
const pool = "p"

// epoch is the present, on every clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// presentClock is a clock that always shows epoch.
type presentClock struct{ pointport.Clock }

func (presentClock) Steady() time.Time { return epoch }

func after(units int16) time.Time { return epoch.Add(time.Duration(units) * unit) }

func until(t time.Time) int16 { return int16(t.Sub(epoch) / unit) }

// A procID is a process: its member and the number of restarts before it. Zero is none.
type procID uint8

func proc(member int, restarts uint8) procID { return procID(member*2) + procID(restarts) + 1 }

func (p procID) member() int { return int(p-1) / 2 }

func (p procID) String() string {
	if p == 0 {
		return "-"
	}
	return fmt.Sprintf("%c%d", 'A'+p.member(), (p-1)%2)
}

func (p procID) process() Process { return processes[p] }

// processes are the processes by their procID.
var processes = func() (out [members*2 + 1]Process) {
	for p := procID(1); p <= members*2; p++ {
		name := string(rune('A' + p.member()))
		out[p] = Process{Name: name, Peer: name + ":1", ID: p.String()}
	}
	return out
}()

// A procSet is a set of processes.
type procSet uint8

func setOf(ps ...procID) procSet {
	var s procSet
	for _, p := range ps {
		s |= 1 << p
	}
	return s
}

func (s procSet) has(p procID) bool { return s&(1<<p) != 0 }

func (s procSet) processes() []Process {
	var out []Process
	for p := procID(1); p <= members*2; p++ {
		if s.has(p) {
			out = append(out, p.process())
		}
	}
	return out
}

func setOfProcesses(ps []Process) procSet {
	var s procSet
	for p := procID(1); p <= members*2; p++ {
		if slices.Contains(ps, p.process()) {
			s |= setOf(p)
		}
	}
	return s
}

// A storedDoc is the standby key. Its revision is zero if there is none.
type storedDoc struct {
	rev, fence uint8
	owner      procID
	standbys   procSet
	unrecorded bool
}

func (d storedDoc) document() *Document {
	if d.rev == 0 {
		return nil
	}
	out := NewDocument(d.owner.process(), pointport.Fence(d.fence), d.standbys.processes(), limit*unit, storeTTL*unit)
	out.Unrecorded = d.unrecorded
	return &out
}

// A storeState is what the store holds.
type storeState struct {
	owner    procID
	fence    uint8 // of the owner key
	left     int16 // of the lease of the owner key
	doc      storedDoc
	revision uint8 // the latest
}

// A phase is what a member does about the pool.
type phase uint8

const (
	idle phase = iota
	taking
	owning
)

// An owned is the state of an ownership.
type owned struct {
	fence           uint8
	rev             uint8 // of the document
	proven          int16 // by the store, for how much longer; negative afterwards
	stored, pending procSet
	leases          [members*2 + 1]int16 // by process, for how much longer
}

// A vacancy is what a member knows of the pool without an owner.
type vacancy struct {
	doc      storedDoc
	since    int16 // how long ago
	answered bool
	freeIn   int16 // by the answers
	recorded bool  // by the answers
}

// A procState is the state of a member's process.
type procState struct {
	id    procID
	phase phase
	age   int16 // at most that at which it plays no role any more

	promised         int16 // for how much longer
	granted, refused uint8
	takingOver       bool

	vacancy    vacancy
	own        owned
	dropped    uint8 // the fence of an ownership that it has dropped while its key stays
	unrecorded bool  // it has started tasks without recording them
	// inherited reports that earlier owners may have done so.
	inherited bool
}

// A messageKind is the kind of a message.
type messageKind uint8

const (
	noMessage messageKind = iota
	leaseRequest
	leaseAnswer
	takeoverAnswer
	takeTxn
	listTxn
)

var lossNames = [...]string{"", "lost: lease request", "lost: lease", "lost: takeover answer",
	"lost: takeover transaction", "lost: list transaction"}

// A message is on its way between members or to the store.
type message struct {
	kind     messageKind
	from, to procID
	fence    uint8
	rev      uint8 // of the document that it depends on
	age      int16 // on the clock of the owner that asks for a lease
	standbys procSet
	answer   uint8 // index in answerKinds
	left     int16 // Remaining
	recorded bool
}

var answerKinds = []AnswerKind{AnswerHolds, AnswerReleased, AnswerAllowed, AnswerRestarted}

// A world is the state of the model.
type world struct {
	store    storeState
	procs    [members]procState
	messages [4]message // sorted, so that equal sets are equal
	restarts uint8      // that may still happen
	rewrites uint8
	// hidden is the truth about unrecorded starts: there are some that no owner has settled.
	hidden bool
	// fault is set if a successor did not know of them.
	fault bool
}

// A step is the label of a transition.
type step struct {
	what string
	a, b procID
}

func (s step) String() string {
	out := s.what
	if s.a != 0 {
		out += " " + s.a.String()
	}
	if s.b != 0 {
		out += " " + s.b.String()
	}
	return out
}

// lists are the lists of standbys that a member may store.
type lists uint8

const (
	listAnyOne lists = iota // one of the other members
	listFirst               // the first of the other members
	listAll                 // all other members
)

// Options select a scenario and remove guards.
type options struct {
	rates              [members]int16 // units per step of the members' clocks
	standbys           procSet        // of the first owner
	lists              lists          // that may be stored after the first
	restarts, rewrites uint8
	messages           int     // on their way at once, at most 4
	maxRevision        uint8   // after which the store changes no more
	takers             procSet // that take the pool
	releases           bool    // of the pool by its owner
	starts             bool    // unrecorded starts
	finer              bool    // steps of a quarter of a second

	ownerCountsAsLong        bool
	ownerCountsFromAnswer    bool
	ownerClockStops          bool
	grantsWhileTaking        bool
	grantsAfterTransaction   bool
	grantsAfterAllowed       bool
	grantsForEarlierProcess  bool
	ignoresOwnPromise        bool
	ignoresPromiseOfAnswer   bool
	newcomerDoesNotAsk       bool
	restartDoesNotWait       bool
	pendingNotNeeded         bool
	readEndsChange           bool
	forgetsEarlierList       bool
	trustsFoundOwnership     bool
	noLimit                  bool
	noStandbyCondition       bool
	noSecondCheck            bool
	sinceIsKept              bool
	releasedWhileOwning      bool
	restartedFreeAtOnce      bool
	rewritesWhileUnrecorded  bool
	documentForgets          bool
	releasesWhileUnrecorded  bool
	formerOwnerSaysRecorded  bool
	standbyForgetsItsPromise bool
}

func (o options) initial() world {
	w := world{restarts: o.restarts, rewrites: o.rewrites}
	for m := range w.procs {
		w.procs[m] = procState{id: proc(m, 0), age: 100}
	}
	a := &w.procs[0]
	a.phase, a.takingOver = owning, true
	a.own = owned{fence: 1, rev: 1, proven: storeTTL, stored: o.standbys}
	w.store = storeState{owner: a.id, fence: 1, left: storeTTL, revision: 1,
		doc: storedDoc{rev: 1, fence: 1, owner: a.id, standbys: o.standbys}}
	return w
}

// violation checks that at most one process acts as owner, and that successors know of
// unrecorded starts.
func (o options) violation(w world) string {
	if w.fault {
		return "a successor believes that all starts are recorded"
	}
	var acting []procID
	for m := range w.procs {
		p := &w.procs[m]
		if p.phase != owning {
			continue
		}
		byStore := p.own.proven > 0 && w.store.owner == p.id && w.store.fence == p.own.fence
		if byStore || o.peerProven(p) {
			acting = append(acting, p.id)
		}
	}
	if len(acting) > 1 {
		return fmt.Sprintf("%v act as owner at once", acting)
	}
	return ""
}

// proof returns the Proof of an owner.
func (o options) proof(p *procState) *Proof {
	bound := limit * unit
	if o.noLimit {
		bound = time.Hour
	}
	pr := NewProof(presentClock{}, bound, p.own.stored.processes())
	if p.own.pending != 0 && !o.pendingNotNeeded {
		pr.BeginChange(p.own.pending.processes())
	}
	for id, left := range p.own.leases {
		if left > 0 {
			pr.leases[processes[id].ID] = after(left)
		}
	}
	return pr
}

func (o options) peerProven(p *procState) bool {
	if o.noLimit && p.own.proven < 0 {
		q := *p
		q.own.proven = 0
		return o.proof(&q).Until(epoch).After(epoch)
	}
	return o.proof(p).Until(after(p.own.proven)).After(epoch)
}

// withGrants calls f with the Grants of a process and keeps what it changes.
func (p *procState) withGrants(f func(*Grants)) {
	g := NewGrants(presentClock{}, p.id.process())
	*g.pool(pool) = poolGrants{until: after(p.promised), granted: pointport.Fence(p.granted),
		refused: pointport.Fence(p.refused), takingOver: p.takingOver}
	f(g)
	s := g.pool(pool)
	p.promised, p.granted = until(s.until), uint8(s.granted)
	p.refused, p.takingOver = uint8(s.refused), s.takingOver
}

// vacancyOf returns the Vacancy of a process.
func (p *procState) vacancyOf() *Vacancy {
	v := &Vacancy{Document: p.vacancy.doc.document(), Since: after(-p.vacancy.since), recordedByAnswer: p.vacancy.recorded}
	v.Recorded = !p.unrecorded && !p.inherited
	p.withGrants(func(g *Grants) { v.Granted = g.Granted(pool, pointport.Fence(p.vacancy.doc.fence)) })
	if p.vacancy.answered {
		v.freeByAnswerAt = after(p.vacancy.freeIn)
	}
	return v
}

// mayTake reports whether a process may take the pool, and what it knows of unrecorded starts.
func (o options) mayTake(p *procState) (ok, recorded bool) {
	started := after(-p.age)
	if o.restartDoesNotWait {
		started = epoch.Add(-time.Hour)
	}
	v := p.vacancyOf()
	if o.standbyForgetsItsPromise {
		v.Granted = false
	}
	verdict := v.Verdict(epoch, p.id.process(), started)
	wait := time.Duration(0)
	p.withGrants(func(g *Grants) { wait = g.BeginTakeover(pool) })
	newcomer := v.Document != nil && !setHasMember(p.vacancy.doc.standbys, p.id.member())
	free := !verdict.At.After(epoch) || o.newcomerDoesNotAsk && newcomer
	return free && (wait == 0 || o.ignoresOwnPromise), verdict.Recorded
}

func setHasMember(s procSet, m int) bool { return s.has(proc(m, 0)) || s.has(proc(m, 1)) }

// hasRoom reports whether another message may be on its way.
func (o options) hasRoom(w *world) bool {
	return w.messages[len(w.messages)-o.messages].kind == noMessage
}

// send adds a message if there is room.
func (o options) send(w *world, m message) bool {
	if !o.hasRoom(w) {
		return false
	}
	w.messages[0] = m
	w.sortMessages()
	return true
}

func (w *world) drop(i int) {
	w.messages[i] = message{}
	w.sortMessages()
}

func (w *world) sortMessages() {
	ms := &w.messages
	for i := 1; i < len(ms); i++ {
		for j := i; j > 0 && ms[j].less(&ms[j-1]); j-- {
			ms[j], ms[j-1] = ms[j-1], ms[j]
		}
	}
}

func (m *message) less(n *message) bool {
	a := [...]int{int(m.kind), int(m.from), int(m.to), int(m.fence), int(m.rev), int(m.age), int(m.standbys), int(m.answer), int(m.left)}
	b := [...]int{int(n.kind), int(n.from), int(n.to), int(n.fence), int(n.rev), int(n.age), int(n.standbys), int(n.answer), int(n.left)}
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return !m.recorded && n.recorded
}
