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

// This file defines the roster, which holds the members and the owner of each pool.

// The prefixes of the roster's keys in the store.
const (
	rosterPrefix = "roster/"
	memberPrefix = rosterPrefix + "member/"
	ownerPrefix  = rosterPrefix + "owner/"
	// standbyPrefix is the prefix of the keys that name each pool's standbys, as a
	// peerlease.Document.
	standbyPrefix = rosterPrefix + "standby/"
)

// maxRosterBytes bounds a value of the roster. Members write less than a kilobyte.
const maxRosterBytes = 64 << 10

// checkSize fails if the value of an entry of the roster is larger than those that members write.
func checkSize(e pointport.Entry) error {
	if e.Size() > maxRosterBytes {
		return fmt.Errorf("value has %d bytes: must have at most %d", e.Size(), maxRosterBytes)
	}
	return nil
}

// Member describes an entry instance. It is stored as JSON, so its fields are exported.
type Member struct {
	Name string           `json:"name"`
	Peer string           `json:"peer"` // host:port at which its peers reach it
	Zone pointport.ZoneID `json:"zone"`
	// Strength is how much work the member can do in proportion to the others.
	Strength float64 `json:"strength"`
	// Process identifies the process, and shows that it grants peer leases. It is empty for a member
	// of an earlier version.
	Process string `json:"process,omitempty"`
}

// owner is the owner of a pool, with the entry that names it.
type owner struct {
	member Member
	entry  pointport.Entry
}

// Roster holds the members and the owners of pools. It is safe for concurrent use.
type Roster struct {
	kv      pointport.KV
	clock   pointport.Clock
	session *Session
	self    Member
	logger  *slog.Logger
	// leases holds the state of peer leases; nil if this member takes no part in them.
	leases *peerLeases

	mu        sync.Mutex
	members   map[string]Member
	owners    map[string]owner
	lastOwner map[string]string         // by pool, the name of the last known owner
	documents map[string]storedDocument // by pool, the standby keys
	// allGrant reports whether all other members grant peer leases.
	allGrant     bool
	unreadable   *event.KeyLimiter // limits the lines about keys whose value cannot be decoded
	pendingTakes int               // number of pools that this member is about to take
	loaded       bool
	lastHandover time.Time     // when this member last handed a pool over
	departed     bool          // whether Leave was called
	changed      chan struct{} // closed and replaced at every change
}

// StartRoster returns a roster that follows the store, and keeps this member listed in it,
// until ctx ends.
func StartRoster(ctx context.Context, kv pointport.KV, clock pointport.Clock, session *Session, self Member, logger *slog.Logger, options ...RosterOption) *Roster {
	r := &Roster{
		kv: kv, clock: clock, session: session, self: self, logger: logger,
		members: make(map[string]Member), owners: make(map[string]owner), lastOwner: make(map[string]string),
		unreadable: event.NewKeyLimiter(clock), changed: make(chan struct{}),
		documents: make(map[string]storedDocument),
	}
	for _, o := range options {
		o(r)
	}
	session.setLeaseInUse(r.leaseInUse)
	go Follow(ctx, kv, clock, rosterPrefix, r.reset, r.apply, RereadOn(session.Recovered), WatchTimeout(r.watchTimeout), RereadInterval(r.rereadInterval), PauseAfterChanges(r.changePause), MaxValue(maxRosterBytes))
	go func() {
		var retry backoff
		for ctx.Err() == nil {
			granted := session.Granted()
			if err := r.enroll(ctx); err != nil {
				event.EnrollFailed.Log(logger, slog.Any("error", err))
				sleep(ctx, clock, retry.after(err))
				continue
			}
			retry = backoff{}
			select {
			case <-granted:
			case <-ctx.Done():
			}
		}
	}()
	return r
}

const (
	// watchTimeoutPerMember is how long a watch of the roster may wait, for each member, so
	// that all watches together end a hundred times a second, and maxWatchTimeout bounds that
	// time. A connection that fails silently is noticed only when the timeout has passed.
	watchTimeoutPerMember = 10 * time.Millisecond
	maxWatchTimeout       = 10 * time.Second
	// rereadIntervalPerMember is the minimum interval, for each member, between two reads of
	// all keys of the roster. There are as many keys as members, of about 200 bytes each, so
	// each member receives 2 KB a second from these reads, whatever the number of members.
	rereadIntervalPerMember = 100 * time.Millisecond
	// changePausePerMember is how long to wait, for each member beyond changePauseThreshold,
	// after members joined or left before the next changes are requested. Every change is sent
	// to every member: 300 members that start within a second would cause 90,000 watch
	// answers, while the smallest store accepts 2,000 reads a second. maxChangePause bounds
	// the wait.
	changePausePerMember = 2 * time.Millisecond
	changePauseThreshold = 50
	maxChangePause       = 600 * time.Millisecond
)

// watchTimeout returns how long a watch of the roster may wait.
func (r *Roster) watchTimeout() time.Duration {
	return min(max(time.Duration(r.Size())*watchTimeoutPerMember, defaultWatchTimeout), maxWatchTimeout)
}

// rereadInterval returns the minimum interval between two reads of all keys.
func (r *Roster) rereadInterval() time.Duration {
	return max(DefaultRereadInterval, time.Duration(r.Size())*rereadIntervalPerMember)
}

// changePause returns how long to wait after changes before the next are requested. After a
// change of an owner there is no wait.
func (r *Roster) changePause(changes []pointport.Entry) time.Duration {
	for _, e := range changes {
		if strings.HasPrefix(e.Key(), ownerPrefix) {
			return 0
		}
	}
	return min(max(time.Duration(r.Size()-changePauseThreshold)*changePausePerMember, 0), maxChangePause)
}

// Leave keeps this member from being listed in the roster again. Its peers remove it when its
// lease ends; until then they still rank it, and wait for it before they take a pool that it
// does not take.
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

// enroll lists this member in the roster under its lease.
func (r *Roster) enroll(ctx context.Context) error {
	lease := r.session.Lease()
	if lease == 0 || r.hasLeft() {
		return nil // the caller continues when a lease is granted
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
	r.documents = make(map[string]storedDocument)
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		r.applyEntry(e)
		listed[e.Key()] = true
	}
	r.unreadable.Retain(func(key string) bool { return listed[key] })
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
	r.allGrant = r.allMembersGrant()
	close(r.changed)
	r.changed = make(chan struct{})
}

// applyEntry applies the state of one key. The lock must be held.
func (r *Roster) applyEntry(e pointport.Entry) {
	if pool, ok := strings.CutPrefix(e.Key(), standbyPrefix); ok {
		r.applyDocument(pool, e)
		return
	}
	var m Member
	var err error
	if e.Exists() {
		err = decodeMember(e, &m)
	}
	if err != nil {
		r.logUnreadable(e, err)
		m = Member{}
	} else {
		r.unreadable.Forget(e.Key())
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
			if known, ok := r.owners[pool]; ok && known.entry.Revision() > e.Revision() {
				return // a newer state is already known
			}
			r.owners[pool] = owner{m, e}
			r.lastOwner[pool] = m.Name
			r.leases.noteOwner(pool, pointport.Fence(e.Created()))
		} else {
			delete(r.owners, pool)
		}
	}
}

// decodeMember decodes the member that an entry of the roster names. It fails if the entry
// names none, or if a member key names a different one.
func decodeMember(e pointport.Entry, m *Member) error {
	if err := checkSize(e); err != nil {
		return err
	}
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

// logUnreadable logs an entry that cannot be decoded, unless that exceeds the rate. An unreadable
// member key names no member. An unreadable owner key still counts as held, by an unknown
// owner, so that all members agree on whether the pool has an owner.
func (r *Roster) logUnreadable(e pointport.Entry, err error) {
	notLogged, ok := r.unreadable.Take(e.Key(), e.Revision())
	if !ok {
		return
	}
	event.RosterUnreadable.Log(r.logger, slog.String("key", e.Key()), slog.Int64("revision", int64(e.Revision())), slog.Any("error", err),
		slog.Int(event.NotLoggedAttr, notLogged))
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Loaded reports whether the roster has been read.
func (r *Roster) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Owner returns the owner of a pool, and false if none is known.
func (r *Roster) Owner(pool string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.owners[pool]
	return o.member, ok
}

// HadOtherOwner reports whether the last known owner of a pool is another member.
func (r *Roster) HadOtherOwner(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, ok := r.lastOwner[pool]
	return ok && name != r.self.Name
}

// WasLastOwner reports whether this member, or an earlier process under its name, is the last
// known owner of a pool.
func (r *Roster) WasLastOwner(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastOwner[pool] == r.self.Name
}

// Reserve notes that this member is about to take a pool, until done is called. If only is
// true, the pool must become the member's only one: Reserve then fails if the member owns a
// pool or is about to take one.
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

// leaseInUse reports whether this member owns a pool under its lease, or is about to take one.
func (r *Roster) leaseInUse() bool {
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

// Holding describes the owner of a pool as known from the roster.
type Holding struct {
	Member   Member
	Fence    pointport.Fence
	Revision pointport.Revision
	// Mine reports whether the owner is this member under its current lease.
	Mine bool
}

// Holding returns the owner of a pool, and false if none is known.
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

// Peers returns the other members, sorted by name.
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

// Enrolled reports whether the roster that this member has read lists it.
func (r *Roster) Enrolled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.members[r.self.Name]
	return ok
}

// Size returns the number of members, including this one.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.members[r.self.Name]; ok {
		return len(r.members)
	}
	return len(r.members) + 1
}
