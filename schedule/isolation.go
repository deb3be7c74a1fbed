package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines when the owner of a pool doubts itself: so many instances that are
// registered give no answer that it is likelier the owner that cannot hear.

const (
	// selfDoubtShare is of what share of the registered instances that are asked an owner must
	// hear nothing to doubt itself. An availability zone that is cut off may have half of a
	// pool's instances and some more; an owner that is cut off with one of three zones hears
	// nothing of two thirds.
	selfDoubtShare = 0.6
	// selfDoubtAfter is for how long that must be so: where a peer that carries orders is
	// late, or a burst of ends comes, the answers are there within a second.
	selfDoubtAfter = time.Second
	// trustShare is below what share it trusts itself again: one that hears little by little
	// what its starts let it hear would otherwise stay at the edge of doubt.
	trustShare = selfDoubtShare / 2
	// selfDoubtLeast is how many instances must be silent for that: of fewer each may have
	// failed by itself, and their registrations are on their way out.
	selfDoubtLeast = 4
)

// A reachability is how well an owner hears the instances that are registered.
type reachability struct {
	silentShare  float64   // of those asked, that are silent
	littleSince  time.Time // since when the owner hears little, zero while it hears more
	doubtedSince time.Time // zero while the owner does not doubt itself
}

// A tally counts the instances that are registered and asked, and those that are silent.
type tally struct{ asked, silent int }

func (t *tally) count(w *Worker) {
	if !w.listed || w.ended {
		return
	}
	t.asked++
	if w.silent {
		t.silent++
	}
}

// share returns which share is silent.
func (t tally) share() float64 {
	if t.asked == 0 {
		return 0
	}
	return float64(t.silent) / float64(t.asked)
}

// listen judges how well the owner hears.
func (b *Scheduler) listen(now time.Time, t tally) {
	b.hearing.silentShare = t.share()
	doubts := b.hearsLittle(now, t.silent)
	if doubts == b.SuspectsIsolation() {
		return
	}
	event.OwnerDoubts.Log(b.logger, slog.Bool("doubts", doubts), slog.Int("silent", t.silent), slog.Int("asked", t.asked), slog.Duration("after", b.IsolationSuspectedFor(now)))
	b.hearing.doubtedSince = time.Time{}
	if doubts {
		b.hearing.doubtedSince = now
	}
}

// hearsLittle reports whether an owner that does not hear so many instances has reason to
// doubt itself, or to go on doubting.
func (b *Scheduler) hearsLittle(now time.Time, silent int) bool {
	h := &b.hearing
	if b.SuspectsIsolation() {
		return silent >= selfDoubtLeast && h.silentShare >= trustShare
	}
	if silent < selfDoubtLeast || h.silentShare < selfDoubtShare {
		h.littleSince = time.Time{}
		return false
	}
	if h.littleSince.IsZero() {
		h.littleSince = now
	}
	return now.Sub(h.littleSince) >= selfDoubtAfter
}

// SuspectsIsolation reports whether the owner hears so little that it should doubt itself. Nothing
// expires then on its word alone, and few starts are to be under way: they would take from
// looks what there is of the link and of processor time, and would mostly go unanswered.
func (b *Scheduler) SuspectsIsolation() bool { return !b.hearing.doubtedSince.IsZero() }

// IsolationSuspectedFor returns for how long the owner has doubted itself, zero while it does not.
func (b *Scheduler) IsolationSuspectedFor(now time.Time) time.Duration {
	if !b.SuspectsIsolation() {
		return 0
	}
	return now.Sub(b.hearing.doubtedSince)
}
