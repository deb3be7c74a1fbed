package peerlease

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines the steps of the model: time, the processes, and what happens to messages.

// oldest is the age from which times play no role any more.
const oldest = 400

// next implements model.
func (o options) next(w world, emit func(step, world)) {
	o.passTime(w, emit)
	o.storeSteps(w, emit)
	for m := range w.procs {
		switch w.procs[m].phase {
		case idle:
			o.idleSteps(w, m, emit)
		case taking:
			o.takingSteps(w, m, emit)
		case owning:
			o.owningSteps(w, m, emit)
		}
		if w.restarts > 0 && w.procs[m].id == proc(m, 0) {
			n := w
			n.restarts--
			n.procs[m] = procState{id: proc(m, 1)}
			emit(step{"restart", w.procs[m].id, 0}, n)
		}
	}
	for i := range w.messages {
		if w.messages[i].kind != noMessage {
			o.messageSteps(w, i, emit)
		}
	}
}

// passTime lets a step of time pass.
func (o options) passTime(w world, emit func(step, world)) {
	n := w
	o.elapse(&n, -1)
	emit(step{"time passes", 0, 0}, n)
	for m := range w.procs {
		if o.ownerClockStops && w.procs[m].phase == owning {
			n := w
			o.elapse(&n, m)
			emit(step{"time passes, suspended", w.procs[m].id, 0}, n)
		}
	}
}

// elapse moves all clocks on but that of a member which stands still.
func (o options) elapse(w *world, still int) {
	divisor := int16(1)
	if o.finer {
		divisor = 2
	}
	w.store.left = max(0, w.store.left-tick/divisor)
	for m := range w.procs {
		d := o.rates[m] / divisor
		if m == still {
			d = 0
		}
		p := &w.procs[m]
		p.age = min(p.age+d, 100)
		p.promised = max(0, p.promised-d)
		if p.vacancy != (vacancy{}) {
			p.vacancy.since = min(p.vacancy.since+d, oldest)
		}
		p.vacancy.freeIn = max(0, p.vacancy.freeIn-d)
		if p.phase == owning {
			p.own.proven = max(-oldest, p.own.proven-d)
			for i := range p.own.leases {
				p.own.leases[i] = max(0, p.own.leases[i]-d)
			}
		}
		for i := range w.messages {
			msg := &w.messages[i]
			asked := msg.kind == leaseRequest && msg.from == p.id || msg.kind == leaseAnswer && msg.to == p.id
			if asked {
				msg.age = min(msg.age+d, oldest)
			}
		}
	}
	w.sortMessages()
}

// storeSteps ends the owner's lease, once it has run out or its process is gone.
func (o options) storeSteps(w world, emit func(step, world)) {
	owner := w.store.owner
	if owner == 0 {
		return
	}
	if gone := w.procs[owner.member()].id != owner; gone || w.store.left == 0 {
		n := w
		n.store.owner, n.store.fence, n.store.left = 0, 0, 0
		emit(step{"the store deletes the owner key of", owner, 0}, n)
	}
}

// idleSteps are those of a member that has nothing to do with the pool.
func (o options) idleSteps(w world, m int, emit func(step, world)) {
	p := &w.procs[m]
	if w.store.owner != 0 && w.store.owner != p.id || !o.takers.has(p.id) {
		return
	}
	n := w
	q := &n.procs[m]
	q.phase = taking
	what := "finds itself owner"
	if w.store.owner == 0 {
		what = "finds the pool without owner"
		kept := q.vacancy
		q.vacancy = vacancy{doc: w.store.doc}
		if o.sinceIsKept && kept != (vacancy{}) {
			q.vacancy.since = kept.since
		}
	}
	q.withGrants(func(g *Grants) { g.BeginTakeover(pool) })
	emit(step{what, p.id, 0}, n)
}

// takingSteps are those of a member that takes the pool.
func (o options) takingSteps(w world, m int, emit func(step, world)) {
	p := &w.procs[m]
	o.giveUp(w, m, emit)
	if w.store.owner == p.id {
		o.act(w, m, emit)
		return
	}
	d := p.vacancy.doc
	ok, recorded := o.mayTake(p)
	if ok && w.store.revision < o.maxRevision && w.store.owner == 0 && w.store.doc.rev == d.rev {
		for _, list := range o.listsOf(w, m) {
			n := w
			q := &n.procs[m]
			q.inherited = !recorded
			if !o.grantsAfterTransaction && d.rev != 0 {
				q.withGrants(func(g *Grants) { g.AllowTakeover(pool, pointport.Fence(d.fence)) })
			}
			if o.send(&n, message{kind: takeTxn, from: p.id, rev: d.rev, standbys: list, recorded: recorded}) {
				emit(step{"sends takeover transaction", p.id, 0}, n)
			}
		}
	}
	if d.rev == 0 || ok {
		return
	}
	for other := range w.procs {
		named := other == d.owner.member() || setHasMember(d.standbys, other)
		if other != m && named {
			o.ask(w, m, other, emit)
		}
	}
}

// giveUp ends the takeover.
func (o options) giveUp(w world, m int, emit func(step, world)) {
	n := w
	q := &n.procs[m]
	q.phase = idle
	q.withGrants(func(g *Grants) { g.EndTakeover(pool) })
	if !o.sinceIsKept {
		q.vacancy = vacancy{}
	}
	emit(step{"gives up takeover", q.id, 0}, n)
}

// ask asks a member about a takeover; its answer is on its way then.
func (o options) ask(w world, m, other int, emit func(step, world)) {
	n := w
	q := &n.procs[other]
	d := w.procs[m].vacancy.doc
	asked := d.owner
	if other != d.owner.member() {
		asked = proc(other, 0)
		if !d.standbys.has(asked) {
			asked = proc(other, 1)
		}
	}
	a := message{kind: takeoverAnswer, from: asked, to: w.procs[m].id, rev: d.rev}
	switch {
	case q.id != asked:
		a.answer = 3
	case asked == d.owner && q.phase != idle && !(o.releasedWhileOwning && q.phase == owning):
		return // it holds the pool, which changes nothing
	case asked == d.owner:
		a.answer, a.recorded = 1, o.formerOwnerSaysRecorded || !q.unrecorded && !q.inherited
	default:
		a.answer = 2
		q.withGrants(func(g *Grants) {
			remaining, granted := g.AllowTakeover(pool, pointport.Fence(d.fence))
			a.left, a.recorded = int16(remaining/unit), !granted
		})
		if o.grantsAfterAllowed {
			q.refused = w.procs[other].refused
		}
	}
	if o.send(&n, a) {
		emit(step{"answers takeover (" + string(answerKinds[a.answer]) + ")", q.id, w.procs[m].id}, n)
	}
}

// act makes a member that finds itself owner act, if the second check allows it.
func (o options) act(w world, m int, emit func(step, world)) {
	n := w
	q := &n.procs[m]
	q.vacancy = vacancy{doc: w.store.doc}
	ok, recorded := o.mayTake(q)
	if !ok && !o.noSecondCheck {
		return
	}
	n.fault = recorded && w.hidden
	q.phase, q.vacancy, q.inherited = owning, vacancy{}, !recorded
	q.own = owned{fence: w.store.fence, rev: w.store.doc.rev, proven: storeTTL, stored: w.store.doc.standbys}
	if q.dropped == w.store.fence && !o.trustsFoundOwnership {
		// A list that it sent before may still be carried out.
		q.own.stored = 0
	}
	q.dropped = 0
	n.store.left = storeTTL
	emit(step{"acts as owner", q.id, 0}, n)
}

// listsOf returns the standby lists that a member may store: the newest processes of others.
func (o options) listsOf(w world, m int) []procSet {
	var others []procID
	for i := range w.procs {
		if i != m {
			others = append(others, w.procs[i].id)
		}
	}
	switch o.lists {
	case listFirst:
		return []procSet{setOf(others[0])}
	case listAnyOne:
		return []procSet{setOf(others[0]), setOf(others[1])}
	default:
		return []procSet{setOf(others...)}
	}
}

// owningSteps are those of an owner.
func (o options) owningSteps(w world, m int, emit func(step, world)) {
	p := &w.procs[m]
	mine := w.store.owner == p.id && w.store.fence == p.own.fence
	if mine {
		n := w
		n.store.left, n.procs[m].own.proven = storeTTL, storeTTL
		emit(step{"is proven by the store", p.id, 0}, n)
		o.storedSteps(w, m, emit)
	}
	n := w
	q := &n.procs[m]
	q.phase, q.own = idle, owned{}
	if mine && o.rewrites > 0 { // otherwise there are no lists on their way
		q.dropped = p.own.fence
	}
	q.withGrants(func(g *Grants) { g.EndTakeover(pool) })
	emit(step{"drops the ownership", p.id, 0}, n)

	for id := procID(1); id <= members*2; id++ {
		if (p.own.stored | p.own.pending).has(id) {
			n := w
			if o.send(&n, message{kind: leaseRequest, from: p.id, to: id, fence: p.own.fence}) {
				emit(step{"asks for a lease", p.id, id}, n)
			}
		}
	}
	if o.starts && !p.unrecorded && o.peerProven(p) {
		n := w
		n.procs[m].unrecorded, n.hidden = true, true
		emit(step{"starts without recording", p.id, 0}, n)
	}
}

// storedSteps are what an owner does whose key is in the store.
func (o options) storedSteps(w world, m int, emit func(step, world)) {
	p := &w.procs[m]
	d := w.store.doc
	quiet := !p.unrecorded && !p.inherited
	if p.unrecorded {
		n := w
		n.procs[m].unrecorded, n.hidden = false, w.hidden && p.inherited
		emit(step{"records its starts", p.id, 0}, n)
	}
	if p.inherited && w.store.revision < o.maxRevision {
		n := w
		n.procs[m].inherited, n.hidden = false, w.hidden && p.unrecorded
		n.store.revision++
		n.store.doc.rev, n.store.doc.unrecorded = n.store.revision, false
		n.procs[m].own.rev = n.store.revision
		emit(step{"has adopted what earlier owners started", p.id, 0}, n)
	}
	if p.own.stored == 0 && w.store.revision < o.maxRevision {
		n := w
		n.store.revision++
		n.store.doc.rev = n.store.revision
		n.procs[m].own.rev, n.procs[m].own.stored = n.store.revision, d.standbys
		emit(step{"stores its list again", p.id, 0}, n)
	}
	if o.releases && (quiet || o.releasesWhileUnrecorded) {
		n := w
		q := &n.procs[m]
		q.phase, q.own = idle, owned{}
		q.withGrants(func(g *Grants) { g.EndTakeover(pool) })
		n.store.owner, n.store.fence, n.store.left, n.store.doc = 0, 0, 0, storedDoc{}
		emit(step{"releases the pool", p.id, 0}, n)
	}
	if p.own.pending != 0 && d.rev == p.own.rev && o.readEndsChange {
		n := w
		n.procs[m].own.pending = 0
		emit(step{"reads the earlier list", p.id, 0}, n)
	}
	if p.own.pending != 0 && d.rev != p.own.rev {
		n := w
		own := &n.procs[m].own
		pr := o.proof(p)
		pr.EndChange(true)
		own.stored, own.pending, own.rev = setOfProcesses(pr.stored), 0, d.rev
		emit(step{"reads the later list", p.id, 0}, n)
	}
	if w.rewrites == 0 || p.own.stored == 0 || p.unrecorded && !o.rewritesWhileUnrecorded || w.store.revision >= o.maxRevision {
		return
	}
	for _, list := range o.listsOf(w, m) {
		if list == p.own.stored|p.own.pending {
			continue
		}
		n := w
		n.rewrites--
		pr := o.proof(p)
		if o.forgetsEarlierList {
			pr.pending = nil
		}
		pr.BeginChange(list.processes())
		n.procs[m].own.pending = setOfProcesses(pr.pending)
		if o.send(&n, message{kind: listTxn, from: p.id, fence: p.own.fence, rev: p.own.rev, standbys: list}) {
			emit(step{"sends list transaction", p.id, 0}, n)
		}
	}
}

// messageSteps loses a message, or delivers it.
func (o options) messageSteps(w world, i int, emit func(step, world)) {
	msg := w.messages[i]
	n := w
	n.drop(i)
	if !o.hasRoom(&w) {
		// A lost message is one that never arrives; it matters only where it makes room.
		emit(step{lossNames[msg.kind], msg.from, msg.to}, n)
	}
	switch msg.kind {
	case leaseRequest:
		if o.grantLease(&n, msg) {
			emit(step{"grants the lease", msg.to, msg.from}, n)
		}
	case leaseAnswer:
		q := &n.procs[msg.to.member()]
		if q.id == msg.to && q.phase == owning && q.own.fence == msg.fence {
			o.hold(q, msg)
			emit(step{"holds the lease", msg.to, msg.from}, n)
		}
	case takeoverAnswer:
		q := &n.procs[msg.to.member()]
		if q.id == msg.to && q.phase == taking && q.vacancy.doc.rev == msg.rev {
			o.note(q, msg)
			emit(step{"hears about the takeover", msg.to, msg.from}, n)
		}
	case takeTxn:
		if w.store.owner == 0 && (w.store.doc.rev == msg.rev || o.noStandbyCondition) {
			n.store.revision++
			r := n.store.revision
			n.store.owner, n.store.fence, n.store.left = msg.from, r, storeTTL
			n.store.doc = storedDoc{rev: r, fence: r, owner: msg.from, standbys: msg.standbys,
				unrecorded: !msg.recorded && !o.documentForgets}
			emit(step{"the store carries out the takeover of", msg.from, 0}, n)
		}
	case listTxn:
		if w.store.owner == msg.from && w.store.fence == msg.fence && w.store.doc.rev == msg.rev {
			n.store.revision++
			n.store.doc.rev, n.store.doc.standbys = n.store.revision, msg.standbys
			emit(step{"the store carries out the list of", msg.from, 0}, n)
		}
	}
}

// grantLease delivers a request for a lease.
func (o options) grantLease(n *world, msg message) bool {
	q := &n.procs[msg.to.member()]
	asked := msg.to
	if o.grantsForEarlierProcess {
		asked = q.id
	}
	refusal := RefusalProcess
	before := *q
	if o.grantsWhileTaking && q.phase == taking {
		q.takingOver = false
	}
	q.withGrants(func(g *Grants) {
		refusal = g.Grant(Request{Pool: pool, Fence: pointport.Fence(msg.fence), Standby: asked.process().ID}, false)
	})
	q.takingOver = before.takingOver
	return refusal == "" && o.send(n, message{kind: leaseAnswer, from: msg.to, to: msg.from, fence: msg.fence, age: msg.age})
}

// hold delivers a lease to the owner that has asked for it.
func (o options) hold(q *procState, msg message) {
	asked := after(-msg.age)
	if o.ownerCountsFromAnswer {
		asked = epoch
	}
	if o.ownerCountsAsLong {
		asked = asked.Add(Duration - ownerDuration)
	}
	pr := o.proof(q)
	pr.Hold(msg.from.process(), asked)
	q.own.leases[msg.from] = max(0, until(pr.HeldUntil(msg.from.process())))
}

// note delivers an answer about a takeover.
func (o options) note(q *procState, msg message) {
	v := q.vacancyOf()
	asked := msg.from.process()
	a := Answer{Kind: answerKinds[msg.answer], Name: asked.Name, Remaining: time.Duration(msg.left) * unit, Recorded: msg.recorded}
	if o.ignoresPromiseOfAnswer {
		a.Remaining = 0
	}
	v.Note(epoch, asked, a)
	if o.restartedFreeAtOnce && a.Kind == AnswerRestarted {
		v.noteFreeAt(epoch)
	}
	if !v.freeByAnswerAt.IsZero() {
		q.vacancy.answered, q.vacancy.freeIn = true, max(0, until(v.freeByAnswerAt))
	}
	q.vacancy.recorded = v.recordedByAnswer
}
