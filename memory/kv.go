package memory

import (
	"context"
	"errors"
	"sort"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the store as a pointport.KV: transactions, ranges, watches
// on prefixes, and leases that keys go with.

// maxPageKeys is how many keys a page of a range holds at most.
const maxPageKeys = 500

// A grant is a lease that keys go with.
type grant struct {
	ttl   time.Duration
	until time.Time
}

// A change is a key as it was written at a revision.
type change struct {
	at    pointport.Revision
	entry pointport.Entry
}

// A KV is a Store as one caller reaches it, with the faults and the latency of
// that caller's calls. It is safe for concurrent use.
type KV struct {
	store   *Store
	inject  Injector
	latency time.Duration
}

var _ pointport.KV = (*KV)(nil)

// A KVOption changes how a caller reaches the store.
type KVOption func(*KV)

// WithFaults makes a caller's calls fail as inject says. The names of the calls
// are "get", "commit", "range", "watch", "grant", "renew" and "revoke".
func WithFaults(inject Injector) KVOption { return func(k *KV) { k.inject = inject } }

// WithLatency sets how long each call takes at least.
func WithLatency(d time.Duration) KVOption { return func(k *KV) { k.latency = d } }

// KV returns the store as one caller reaches it.
func (s *Store) KV(options ...KVOption) *KV {
	k := &KV{store: s, inject: func(string, string) Fault { return FaultNone }}
	for _, o := range options {
		o(k)
	}
	return k
}

// errDeaf is the cause of a call's end without an answer, errSilentWatch of a watch's that is
// told only after its wait.
var (
	errNoAnswer     = errors.New("stand-in store gave no answer")
	errWatchTimeout = errors.New("stand-in store gave no answer to a watch")
)

// call runs one operation under its fault and returns its answer. A call without an
// answer waits until its context ends, as on a network.
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
			// Its caller has long gone and hears of no refusal.
			_, _ = run()
		}()
		return none, k.waitUnanswered(ctx, op, key, changes)
	}
	k.store.mu.Lock()
	if k.store.expireLeases() {
		k.store.notifyWatches() // watches hear of it as soon as any call shows it
	}
	answer, err := run()
	k.store.mu.Unlock()
	if fault == FaultLostAnswer {
		return none, k.waitUnanswered(ctx, op, key, changes)
	}
	return answer, err
}

// lateDelay is how much later a late call is carried out.
const lateDelay = 1500 * time.Millisecond

// callTimeout is how long a caller waits for an answer, unless its context ends
// sooner.
const callTimeout = time.Second

func (k *KV) waitUnanswered(ctx context.Context, op, key string, changes bool) error {
	select {
	case <-ctx.Done():
	case <-k.store.clock.After(callTimeout):
	}
	return &pointport.UnavailableError{Op: op, Key: key, Ambiguous: changes, Err: errNoAnswer}
}

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

// Get returns the state of key.
func (k *KV) Get(ctx context.Context, key string) (pointport.Entry, error) {
	return call(ctx, k, "get", key, false, func() (pointport.Entry, error) {
		k.store.counts.Reads++
		return k.store.entry(key), nil
	})
}

// Commit makes a change of several keys.
func (k *KV) Commit(ctx context.Context, txn pointport.Txn) (pointport.Revision, error) {
	name := ""
	if len(txn.Put) > 0 {
		name = txn.Put[0].Key
	}
	return call(ctx, k, "commit", name, true, func() (pointport.Revision, error) {
		return k.store.commit(txn)
	})
}

// commit makes a change. The lock is held.
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
		return s.revision, nil // a read under conditions
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

// remove deletes a key at the present revision. The lock is held.
func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, change{s.revision, pointport.NewEntry(key, nil, 0)})
}

func (s *Store) conflict(conditions []pointport.Condition) error {
	e := &pointport.TxnConflictError{}
	for _, c := range conditions {
		if now := s.entry(c.Key); now.Exists() {
			e.Entries = append(e.Entries, now)
		}
	}
	return e
}

// Range returns the keys under prefix that come after the key named.
func (k *KV) Range(ctx context.Context, prefix, after string) (pointport.Page, error) {
	return call(ctx, k, "range", prefix, false, func() (pointport.Page, error) {
		k.store.counts.Reads++
		return k.store.page(prefix, after), nil
	})
}

func (s *Store) page(prefix, after string) pointport.Page {
	page := pointport.Page{At: s.revision}
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

// A watchResult is what a watch has found, and when to look again.
type watchResult struct {
	changes pointport.Changes
	next    <-chan struct{}
}

// WatchPrefix returns the changes of keys under prefix after a revision.
func (k *KV) WatchPrefix(ctx context.Context, prefix string, after pointport.Revision, wait time.Duration) (pointport.Changes, error) {
	end := k.store.clock.After(wait)
	for {
		heard, err := call(ctx, k, "watch", prefix, false, func() (watchResult, error) {
			k.store.counts.Watches++
			if after < k.store.compactedAt {
				return watchResult{}, &pointport.CompactedError{Prefix: prefix, After: after}
			}
			if k.store.dropEvents {
				// It says that it is up to date all the same.
				return watchResult{pointport.Changes{At: k.store.revision}, k.store.changed}, nil
			}
			return watchResult{k.store.changesAfter(prefix, after), k.store.changed}, nil
		})
		if errors.Is(err, errWatchTimeout) {
			_ = k.sleep(ctx, wait+callTimeout)
		}
		if err != nil || len(heard.changes.Entries) > 0 {
			return heard.changes, err
		}
		select {
		case <-heard.next:
		case <-end:
			return pointport.Changes{At: max(heard.changes.At, after)}, nil
		case <-ctx.Done():
			return pointport.Changes{}, &pointport.UnavailableError{Op: "watch", Key: prefix, Err: ctx.Err()}
		}
	}
}

// changesAfter returns the changes under prefix after a revision. The lock is held.
func (s *Store) changesAfter(prefix string, after pointport.Revision) pointport.Changes {
	out := pointport.Changes{At: s.revision}
	for _, c := range s.history {
		if c.at > after && strings.HasPrefix(c.entry.Key(), prefix) {
			out.Entries = append(out.Entries, c.entry)
		}
	}
	return out
}

// Compact drops the history of changes, so that watches from before must read
// anew.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedAt = nil, s.revision
	s.notifyWatches()
}

// DropWatchEvents makes watches hear nothing, or hear again.
func (s *Store) DropWatchEvents(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropEvents = deaf
	s.notifyWatches()
}

// ExpireKey removes a key as if its lease had ended, while the lease lives on.
func (s *Store) ExpireKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
}

// Grant makes a lease.
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

// Renew starts a lease's time anew.
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

// Revoke ends a lease; its keys go at once.
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

// expireAfter has waiting watches look again once a lease may have ended.
func (s *Store) expireAfter(ttl time.Duration) {
	over := s.clock.After(ttl + time.Millisecond)
	go func() {
		<-over
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.expireLeases() {
			s.notifyWatches()
		}
	}()
}

// expireLeases ends the leases that are over. The lock is held.
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
