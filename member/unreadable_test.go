package member_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
)

// Keys of the roster that cannot be read name nobody, at a member that has followed them no
// more than at one that reads them first, whatever they held before; the others hold.
func TestUnreadableRosterEntriesNameNoMember(t *testing.T) {
	cases := map[string]string{
		"bytes that cannot be read": "\xff\x00",
		"nothing":                   "",
		"a list":                    "[]",
		"no name":                   `{"strength":1}`,
		"another's name":            `{"name":"somebody else"}`,
		"a megabyte":                `{"name":"` + strings.Repeat("x", 1<<20) + `"}`,
	}
	for what, value := range cases {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New(clock.System{})
				a, b, c := startMember(store, "a", 1), startMember(store, "b", 1), startMember(store, "c", 1)
				time.Sleep(time.Second)
				if _, err := c.roster.Take(t.Context(), "p"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				put(t, store, "roster/member/b", value)
				put(t, store, "roster/member/nobody", value)
				put(t, store, member.OwnerKey("p"), value)
				time.Sleep(time.Second)
				first := startMember(store, "d", 1)
				time.Sleep(time.Second)
				for name, p := range map[string]*testMember{"the one that followed": a, "the one that reads first": first} {
					var names []string
					for _, m := range p.roster.Peers() {
						names = append(names, m.Name)
					}
					if slices.Contains(names, "b") || slices.Contains(names, "nobody") || !slices.Contains(names, "c") {
						t.Errorf("%s believes in %v, want c and not b", name, names)
					}
					holder, held := p.roster.Holding("p")
					if what == "another's name" || what == "a megabyte" {
						continue // of an owner's key, any name will do
					}
					if !held || holder.Member.Name != "" {
						t.Errorf("%s believes that %+v holds the pool: %v, want nobody that is known", name, holder, held)
					}
				}
				stopMembers(a, b, c, first)
			})
		})
	}
}

func put(t *testing.T, store *memory.Store, key, value string) {
	t.Helper()
	if _, err := store.KV().Commit(context.Background(), pointport.Txn{Put: []pointport.Put{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}
