package member

import (
	"log/slog"
	"testing"

	"github.com/pointport/pointport"
)

// Guards against a roster that remembers the revision of every unreadable key for as long as its
// process runs, although the key has been removed, has become readable or is no longer listed.
func TestUnreadableKeysAreForgotten(t *testing.T) {
	const key = memberPrefix + "a"
	unreadable := pointport.NewEntry(key, []byte("?"), 5)
	for name, forget := range map[string]func(r *Roster){
		"removed":     func(r *Roster) { r.apply([]pointport.Entry{pointport.NewEntry(key, nil, 0)}) },
		"readable":    func(r *Roster) { r.apply([]pointport.Entry{pointport.NewEntry(key, []byte(`{"name":"a"}`), 6)}) },
		"not in list": func(r *Roster) { r.reset(nil) },
	} {
		r := &Roster{
			logger: slog.New(slog.DiscardHandler), members: make(map[string]Member), owners: make(map[string]owner),
			lastOwner: make(map[string]string), unreadable: make(map[string]pointport.Revision), changed: make(chan struct{}),
		}
		r.reset([]pointport.Entry{unreadable})
		if r.unreadable[key] != 5 {
			t.Fatalf("%s: the unreadable key is not known", name)
		}
		r.reset([]pointport.Entry{unreadable})
		if r.unreadable[key] != 5 {
			t.Errorf("%s: the unreadable key would be logged again", name)
		}
		if forget(r); len(r.unreadable) != 0 {
			t.Errorf("%s: the key is still known: %v", name, r.unreadable)
		}
	}
}
