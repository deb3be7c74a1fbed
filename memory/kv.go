package memory

import (
	"context"
	"errors"
	"sort"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines access to the store as a pointport.KV: transactions, ranges,
// watches of prefixes, and leases that keys are attached to.

// maxPageKeys limits the keys in a page of a range.
const maxPageKeys = 500

// A grant is a lease that keys can be attached to. They are removed when it ends.
type grant struct {
	ttl   time.Duration
	until time.Time
}

// A change is the entry of a key as of a revision. The entry of a removed key has
// revision zero.
type change struct {
	at    pointport.Revision
	entry pointport.Entry
}

// A KV is a connection of one caller to a Store. Faults and latency are set for each
// connection. It is safe for concurrent use.
type KV struct {
	store   *Store
	inject  Injector
	latency time.Duration
}

var _ pointport.KV = (*KV)(nil)

// A KVOption changes how a KV behaves.
type KVOption func(*KV)

// WithFaults sets the function that chooses the fault of each call. The names of the
// operations are "get", "commit", "range", "watch", "grant", "renew" and "revoke".
func WithFaults(inject Injector) KVOption { return func(k *KV) { k.inject = inject } }

// WithLatency sets the minimum duration of each call.
func WithLatency(d time.Duration) KVOption { return func(k *KV) { k.latency = d } }

// KV returns a new connection to the store.
func (s *Store) KV(options ...KVOption) *KV {
	k := &KV{store: s, inject: func(string, string) Fault { return FaultNone }}
	for _, o := range options {
		o(k)
	}
	return k
}

// errNoAnswer is the cause of the error of a call without an answer, and
// errWatchTimeout that of a watch without an answer, which fails only after its wait.
var (
	errNoAnswer     = errors.New("stand-in store gave no answer")
	errWatchTimeout = errors.New("stand-in store gave no answer to a watch")
)

// call runs one operation with the fault that is injected for it, and returns its
// answer. A call without an answer waits for callTimeout or until its context ends, as
// on a network. If changes is true, the operation may change the store, so that its
// effect is ambiguous when no answer comes.
func call[T any](ctx context.Context, k *KV, op, key string, changes bool, run func() (T, error)) (T, error) {
	var none T
	if err := k.sleep(ctx, k.latency); err != nil {
		return none, &pointport.UnavailableError{Op: op, Key: key, Ambiguous: changes, Err: err}
	}
	fault := k.inject(op, key)
	switch fault {
	case FaultDown:
		return none, &pointport.UnavailableError{Op: op, Key: key, Err: errDown}
	case FaultBusy:
		return none, &pointport.UnavailableError{Op: op, Key: key, Busy: true, Err: errBusy}
	case FaultLostCall:
		return none, k.waitUnanswered(ctx, op, key, changes)
	case FaultWatchTimeout:
		return none, &pointport.UnavailableError{Op: op, Key: key, Ambiguous: changes, Err: errWatchTimeout}
	case FaultLate:
		go func() {
			<-k.store.clock.After(lateDelay)
			k.store.mu.Lock()
			defer k.store.mu.Unlock()
			k.store.expireLeases()
			// The caller has given up waiting, so nobody gets the result.
			_, _ = run()
		}()
		return none, k.waitUnanswered(ctx, op, key, changes)
	}
	k.store.mu.Lock()
	if k.store.expireLeases() {
		k.store.notifyWatches() // any call that ends a lease shows that to watches
	}
	answer, err := run()
	k.store.mu.Unlock()
	if fault == FaultLostAnswer {
		return none, k.waitUnanswered(ctx, op, key, changes)
	}
	return answer, err
}

// lateDelay is the delay after which a call with FaultLate takes effect. It is longer
// than callTimeout.
const lateDelay = 1500 * time.Millisecond

// callTimeout is how long a caller waits for an answer, unless its context ends
// sooner.
const callTimeout = time.Second

// waitUnanswered waits for callTimeout or until ctx ends, and returns the error of a
// call without an answer.
func (k *KV) waitUnanswered(ctx context.Context, op, key string, changes bool) error {
	select {
	case <-ctx.Done():
	case <-k.store.clock.After(callTimeout):
	}
	return &pointport.UnavailableError{Op: op, Key: key, Ambiguous: changes, Err: errNoAnswer}
}

// sleep waits for d, and returns the error of ctx if that ends first.
func (k *KV) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-k.store.clock.After(d):
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Get returns the entry of key. The entry of a key that does not exist has revision
// zero.
func (k *KV) Get(ctx context.Context, key string) (pointport.Entry, error) {
	return call(ctx, k, "get", key, false, func() (pointport.Entry, error) {
		k.store.counts.Reads++
		return k.store.entry(key), nil
	})
}

// Commit writes and deletes several keys in one transaction if all its conditions
// hold, and returns the revision of the store afterwards. It fails with a
// *pointport.TxnConflictError if a condition does not hold, with a
// *pointport.LeaseEndedError if a key is to be attached to a lease that has ended, and
// with a *pointport.UnavailableError if the transaction has too many entries.
func (k *KV) Commit(ctx context.Context, txn pointport.Txn) (pointport.Revision, error) {
	name := ""
	if len(txn.Put) > 0 {
		name = txn.Put[0].Key
	}
	return call(ctx, k, "commit", name, true, func() (pointport.Revision, error) {
		return k.store.commit(txn)
	})
}

// commit carries out a transaction. The lock is held.
func (s *Store) commit(txn pointport.Txn) (pointport.Revision, error) {
	s.counts.Writes++
	if txn.Entries() > pointport.MaxTxnEntries {
		return 0, &pointport.UnavailableError{Op: "commit", Err: errors.New("too many entries in a transaction")}
	}
	for _, c := range txn.If {
		if s.entry(c.Key).Revision() != c.Revision {
			s.counts.Conflicts++
			return 0, s.conflict(txn.If)
		}
	}
	for _, p := range txn.Put {
		if p.Lease != 0 && s.grants[p.Lease] == nil {
			return 0, &pointport.LeaseEndedError{Lease: p.Lease}
		}
	}
	if len(txn.Put)+len(txn.Delete) == 0 {
		return s.revision, nil // the transaction only checks its conditions
	}
	s.revision++
	for _, p := range txn.Put {
		s.counts.BytesIn += int64(len(p.Value))
		created := s.revision
		if old := s.entry(p.Key); old.Exists() {
			created = old.Created()
		}
		e := pointport.NewEntry(p.Key, append([]byte(nil), p.Value...), s.revision).WithCreated(created).WithLease(p.Lease)
		s.entries[p.Key] = e
		s.history = append(s.history, change{s.revision, e})
	}
	for _, key := range txn.Delete {
		s.remove(key)
	}
	s.notifyWatches()
	return s.revision, nil
}

// remove deletes a key at the current revision. The lock is held.
func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, change{s.revision, pointport.NewEntry(key, nil, 0)})
}

// conflict returns an error with the current entries of the keys in conditions. The
// lock is held.
func (s *Store) conflict(conditions []pointport.Condition) error {
	e := &pointport.TxnConflictError{}
	for _, c := range conditions {
		if now := s.entry(c.Key); now.Exists() {
			e.Entries = append(e.Entries, now)
		}
	}
	return e
}

// Range returns the entries whose keys have the prefix and sort after the key after,
// at most maxPageKeys of them.
func (k *KV) Range(ctx context.Context, prefix, after string) (pointport.Page, error) {
	return call(ctx, k, "range", prefix, false, func() (pointport.Page, error) {
		k.store.counts.Reads++
		return k.store.page(prefix, after), nil
	})
}

// page returns a page of a range. The lock is held.
func (s *Store) page(prefix, after string) pointport.Page {
	page := pointport.Page{Revision: s.revision}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Entries = append(page.Entries, e)
		}
	}
	sort.Slice(page.Entries, func(a, b int) bool { return page.Entries[a].Key() < page.Entries[b].Key() })
	if len(page.Entries) > maxPageKeys {
		page.Entries, page.More = page.Entries[:maxPageKeys], true
	}
	return page
}

// A watchResult holds the changes that a watch has found.
type watchResult struct {
	changes pointport.Changes
	next    <-chan struct{} // closed when there may be more changes
}

// WatchPrefix returns the changes of keys with the prefix after a revision. It waits
// for the first one, and returns none if there is none within wait. It fails with a
// *pointport.CompactedError if the history after that revision is not complete.
func (k *KV) WatchPrefix(ctx context.Context, prefix string, after pointport.Revision, wait time.Duration) (pointport.Changes, error) {
	end := k.store.clock.After(wait)
	searched := after // there are no changes of these keys up to this revision
	for {
		found, err := call(ctx, k, "watch", prefix, false, func() (watchResult, error) {
			k.store.counts.Watches++
			if after < k.store.compactedAt {
				return watchResult{}, &pointport.CompactedError{Prefix: prefix, After: after}
			}
			if k.store.dropEvents {
				// The answer claims to include everything up to the current
				// revision, so the caller cannot notice the omission.
				return watchResult{pointport.Changes{Revision: k.store.revision}, k.store.changed}, nil
			}
			changes := k.store.changesAfter(prefix, searched)
			searched = max(searched, changes.Revision)
			return watchResult{changes, k.store.changed}, nil
		})
		if errors.Is(err, errWatchTimeout) {
			_ = k.sleep(ctx, wait+callTimeout)
		}
		if err != nil || len(found.changes.Entries) > 0 {
			return found.changes, err
		}
		select {
		case <-found.next:
		case <-end:
			return pointport.Changes{Revision: max(found.changes.Revision, after)}, nil
		case <-ctx.Done():
			return pointport.Changes{}, &pointport.UnavailableError{Op: "watch", Key: prefix, Err: ctx.Err()}
		}
	}
}

// changesAfter returns the changes of keys with the prefix after a revision. The lock
// is held.
func (s *Store) changesAfter(prefix string, after pointport.Revision) pointport.Changes {
	out := pointport.Changes{Revision: s.revision}
	first := sort.Search(len(s.history), func(n int) bool { return s.history[n].at > after })
	for _, c := range s.history[first:] {
		if strings.HasPrefix(c.entry.Key(), prefix) {
			out.Entries = append(out.Entries, c.entry)
		}
	}
	return out
}

// Compact drops the history of changes. Watches from an older revision fail, and
// their callers must read the keys again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedAt = nil, s.revision
	s.notifyWatches()
}

// DropWatchEvents sets whether watches of prefixes omit all changes although their
// answers claim to be complete.
func (s *Store) DropWatchEvents(dropEvents bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropEvents = dropEvents
	s.notifyWatches()
}

// ExpireKey removes a key as if its lease had ended, although the lease goes on.
func (s *Store) ExpireKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
}

// Grant creates a lease that ends after ttl unless it is renewed.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (pointport.LeaseID, error) {
	return call(ctx, k, "grant", "", true, func() (pointport.LeaseID, error) {
		s := k.store
		s.counts.Leases++
		s.lastLease++
		s.grants[s.lastLease] = &grant{ttl: ttl, until: s.clock.Now().Add(ttl)}
		s.expireAfter(ttl)
		return s.lastLease, nil
	})
}

// Renew extends a lease to its full TTL from now. It fails with a
// *pointport.LeaseEndedError if the lease has ended.
func (k *KV) Renew(ctx context.Context, lease pointport.LeaseID) error {
	_, err := call(ctx, k, "renew", "", true, func() (struct{}, error) {
		s := k.store
		s.counts.Leases++
		g := s.grants[lease]
		if g == nil {
			return struct{}{}, &pointport.LeaseEndedError{Lease: lease}
		}
		g.until = s.clock.Now().Add(g.ttl)
		s.expireAfter(g.ttl)
		return struct{}{}, nil
	})
	return err
}

// Revoke ends a lease and removes its keys at once. It fails with a
// *pointport.LeaseEndedError if the lease has ended.
func (k *KV) Revoke(ctx context.Context, lease pointport.LeaseID) error {
	_, err := call(ctx, k, "revoke", "", true, func() (struct{}, error) {
		s := k.store
		s.counts.Leases++
		if s.grants[lease] == nil {
			return struct{}{}, &pointport.LeaseEndedError{Lease: lease}
		}
		s.endLease(lease)
		s.notifyWatches()
		return struct{}{}, nil
	})
	return err
}

// expireAfter ends leases after ttl if they are due by then, and notifies waiting
// watches.
func (s *Store) expireAfter(ttl time.Duration) {
	due := s.clock.After(ttl + time.Millisecond)
	go func() {
		<-due
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.expireLeases() {
			s.notifyWatches()
		}
	}()
}

// expireLeases ends the leases whose time has passed, and reports whether there were
// any. The lock is held.
func (s *Store) expireLeases() bool {
	now, ended := s.clock.Now(), false
	for id, g := range s.grants {
		if now.After(g.until) {
			s.endLease(id)
			ended = true
		}
	}
	return ended
}

// endLease ends a lease and removes its keys. The lock is held.
func (s *Store) endLease(lease pointport.LeaseID) {
	delete(s.grants, lease)
	s.revision++
	for key, e := range s.entries {
		if e.Lease() == lease {
			s.remove(key)
		}
	}
}
