package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the roster: who the members are and who owns which pool.

// The keys of the roster in the store.
const (
	rosterPrefix = "roster/"
	memberPrefix = rosterPrefix + "member/"
	ownerPrefix  = rosterPrefix + "owner/"
)

// A Member is an entry instance. Its fields are exported because a codec reads
// and writes them.
type Member struct {
	Name string           `json:"name"`
	Peer string           `json:"peer"` // host:port for its peers
	Zone pointport.ZoneID `json:"zone"`
	// Strength says how much work the member can do, beside others.
	Strength float64 `json:"strength"`
}

// An owner is who owns a pool.
type owner struct {
	member Member
	entry  pointport.Entry
}

// A Roster knows the members and the owners. It is safe for concurrent use.
type Roster struct {
	kv      pointport.KV
	clock   pointport.Clock
	session *Session
	self    Member
	logger  *slog.Logger

	mu        sync.Mutex
	members   map[string]Member
	owners    map[string]owner
	lastOwner map[string]string // by pool, the name of the owner that was seen last
	// unreadable holds the revisions of keys that cannot be read.
	unreadable   map[string]pointport.Revision
	pendingTakes int // pools that this member is about to take
	loaded       bool
	lastHandover time.Time     // when this member last gave a pool away
	departed     bool          // this member is no peer any more
	changed      chan struct{} // closed and replaced at every change
}

// StartRoster returns a roster that follows the store until ctx ends and keeps
// this member in it.
func StartRoster(ctx context.Context, kv pointport.KV, clock pointport.Clock, session *Session, self Member, logger *slog.Logger) *Roster {
	r := &Roster{
		kv: kv, clock: clock, session: session, self: self, logger: logger,
		members: make(map[string]Member), owners: make(map[string]owner), lastOwner: make(map[string]string),
		unreadable: make(map[string]pointport.Revision), changed: make(chan struct{}),
	}
	session.setEngaged(r.engaged)
	go Follow(ctx, kv, clock, rosterPrefix, r.reset, r.apply, RereadOn(session.Recovered), WatchTimeout(r.watchTimeout), RereadInterval(r.rereadInterval), PauseAfterChanges(r.changePause))
	go func() {
		var pause backoff
		for ctx.Err() == nil {
			granted := session.Granted()
			if err := r.enroll(ctx); err != nil {
				event.EnrollFailed.Log(logger, slog.Any("error", err))
				sleep(ctx, clock, pause.after(err))
				continue
			}
			pause = backoff{}
			select {
			case <-granted:
			case <-ctx.Done():
			}
		}
	}()
	return r
}

const (
	// watchTimeoutPerMember is for each member how long a watch of the roster may wait, so that all
	// watches together end a hundred times a second; waitMost bounds it. A connection
	// that has gone silent is noticed when the wait is over.
	watchTimeoutPerMember = 10 * time.Millisecond
	maxWatchTimeout       = 10 * time.Second
	// rereadIntervalPerMember is for each member how often all keys of the roster are read again at most:
	// there are as many as members, some 200 bytes each, so a member receives 2 KB a second
	// of them however many there are.
	rereadIntervalPerMember = 100 * time.Millisecond
	// changePausePerMember is for each member beyond restFrom how long to wait after members came or
	// went until the roster is asked for the next change. Each change is told to every
	// member, so when 300 start within a second they would be told 90,000 times, and the
	// smallest store takes 2,000 reading calls a second; restMost bounds it.
	changePausePerMember = 2 * time.Millisecond
	changePauseThreshold = 50
	maxChangePause       = 600 * time.Millisecond
)

// watchTimeout returns for how long a watch of the roster may wait.
func (r *Roster) watchTimeout() time.Duration {
	return min(max(time.Duration(r.Size())*watchTimeoutPerMember, defaultWatchTimeout), maxWatchTimeout)
}

// rereadInterval returns how often all keys are read again at most.
func (r *Roster) rereadInterval() time.Duration {
	return max(DefaultRereadInterval, time.Duration(r.Size())*rereadIntervalPerMember)
}

// changePause returns how long to wait after some changes until the next are asked for.
// What concerns an owner is followed without a break.
func (r *Roster) changePause(changes []pointport.Entry) time.Duration {
	for _, e := range changes {
		if strings.HasPrefix(e.Key(), ownerPrefix) {
			return 0
		}
	}
	return min(max(time.Duration(r.Size()-changePauseThreshold)*changePausePerMember, 0), maxChangePause)
}

// Leave keeps this member out of the roster from now on. Its peers forget it once
// its lease ends; while it is in the roster they leave pools to it that it does
// not take.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departed = true
}

func (r *Roster) hasLeft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departed
}

// enroll puts this member into the roster under its lease.
func (r *Roster) enroll(ctx context.Context) error {
	lease := r.session.Lease()
	if lease == 0 || r.hasLeft() {
		return nil // the grant of a lease wakes the caller
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	former, err := r.kv.Get(ctx, memberPrefix+r.self.Name)
	if err != nil {
		return err
	}
	if err := r.session.RevokeFormerLease(ctx, former.Lease()); err != nil {
		return err
	}
	_, err = r.kv.Commit(ctx, pointport.Txn{Put: []pointport.Put{{Key: memberPrefix + r.self.Name, Value: value, Lease: lease}}})
	return err
}

func (r *Roster) reset(all []pointport.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members, r.owners = make(map[string]Member), make(map[string]owner)
	for _, e := range all {
		r.applyEntry(e)
	}
	r.loaded = true
	r.notify()
}

func (r *Roster) apply(changes []pointport.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range changes {
		r.applyEntry(e)
	}
	r.notify()
}

func (r *Roster) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// applyEntry takes in the state of one key.
func (r *Roster) applyEntry(e pointport.Entry) {
	var m Member
	if e.Exists() {
		if err := decodeMember(e, &m); err != nil {
			r.logUnreadable(e, err)
			m = Member{}
		}
	}
	if name, ok := strings.CutPrefix(e.Key(), memberPrefix); ok {
		if e.Exists() && m.Name != "" {
			r.members[name] = m
		} else {
			delete(r.members, name)
		}
	}
	if pool, ok := strings.CutPrefix(e.Key(), ownerPrefix); ok {
		if e.Exists() {
			if old, ok := r.owners[pool]; ok && old.entry.Revision() > e.Revision() {
				return // a newer state has been seen
			}
			r.owners[pool] = owner{m, e}
			r.lastOwner[pool] = m.Name
		} else {
			delete(r.owners, pool)
		}
	}
}

// decodeMember decodes who a key of the roster names. One that names nobody is an error.
func decodeMember(e pointport.Entry, m *Member) error {
	if err := json.Unmarshal(e.Value(), m); err != nil {
		return err
	}
	if m.Name == "" {
		return errors.New("name is missing")
	}
	if name, ok := strings.CutPrefix(e.Key(), memberPrefix); ok && name != m.Name {
		return fmt.Errorf("name is %.64q: must be the one in the key", m.Name)
	}
	return nil
}

// logUnreadable notes a key that cannot be read, and logs it once for each revision. A member's
// key names nobody then. An owner's key is still held, by nobody that is known, so that no
// two members differ on whether the pool is free.
func (r *Roster) logUnreadable(e pointport.Entry, err error) {
	if r.unreadable[e.Key()] == e.Revision() {
		return
	}
	r.unreadable[e.Key()] = e.Revision()
	event.RosterUnreadable.Log(r.logger, slog.String("key", e.Key()), slog.Int64("revision", int64(e.Revision())), slog.Any("error", err))
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Known reports whether the roster has been read.
func (r *Roster) Known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Owner returns who owns a pool; false if nobody is known to.
func (r *Roster) Owner(pool string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.owners[pool]
	return o.member, ok
}

// HadOtherOwner reports whether a pool was seen to be owned by another member.
func (r *Roster) HadOtherOwner(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, ok := r.lastOwner[pool]
	return ok && name != r.self.Name
}

// WasLastOwner reports whether this member, or its former life, was the last that is known to
// have owned a pool.
func (r *Roster) WasLastOwner(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastOwner[pool] == r.self.Name
}

// Reserve notes that this member is about to take a pool, until done is called. If it is
// to be its only one, Reserve fails if the member owns one or is about to.
func (r *Roster) Reserve(only bool) (done func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if only && (r.pendingTakes > 0 || r.poolCounts()[r.self.Name] > 0) {
		return nil, false
	}
	r.pendingTakes++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pendingTakes--
	}, true
}

// engaged reports whether this member owns something under its lease, or is about to.
func (r *Roster) engaged() bool {
	lease := r.session.Lease()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingTakes > 0 {
		return true
	}
	for _, o := range r.owners {
		if o.entry.Lease() == lease {
			return true
		}
	}
	return false
}

// A Holding says who holds a pool, as far as the roster shows.
type Holding struct {
	Member   Member
	Fence    pointport.Fence
	Revision pointport.Revision
	// Mine says that it is this member, under the lease that it has now.
	Mine bool
}

// Holding returns who holds a pool; false if nobody is known to.
func (r *Roster) Holding(pool string) (Holding, bool) {
	lease := r.session.Lease()
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.owners[pool]
	if !ok {
		return Holding{}, false
	}
	return Holding{
		Member: o.member, Fence: pointport.Fence(o.entry.Created()), Revision: o.entry.Revision(),
		Mine: lease != 0 && o.entry.Lease() == lease,
	}, true
}

// Peers returns the other members, by name.
func (r *Roster) Peers() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Member
	for _, m := range r.members {
		if m.Name != r.self.Name {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Enrolled reports whether this member sees itself in the roster, as others do.
func (r *Roster) Enrolled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.members[r.self.Name]
	return ok
}

// Size returns how many members there are, this one among them.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.members[r.self.Name]; ok {
		return len(r.members)
	}
	return len(r.members) + 1
}
