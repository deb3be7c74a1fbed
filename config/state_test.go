package config_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/pointport/pointport/config"
)

func parseOne(t *testing.T, text string) config.Object {
	t.Helper()
	objects, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return objects[0]
}

func apply(t *testing.T, s *config.State, o config.Object) *config.State {
	t.Helper()
	next, err := s.Apply(config.Change{ID: "c", Version: s.Version() + 1, Author: "ana", Object: &o})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

const poolOfFour = "kind: Template\nname: shift\npool: {size: 4}\n"

// TestEffectiveFollowsTime checks that parameters replace a template's values from
// their start, inclusive, to their end, exclusive, and never change the template.
func TestEffectiveFollowsTime(t *testing.T) {
	s := apply(t, config.NewState(), parseOne(t, poolOfFour))
	s = apply(t, s, parseOne(t, "kind: Parameters\nname: peak\ntemplate: shift\nsize: 9\nfrom: 2026-12-18T00:00:00Z\nuntil: 2027-01-07T00:00:00Z\n"))
	for _, c := range []struct {
		at   string
		size int
	}{
		{"2026-12-17T23:59:59Z", 4},
		{"2026-12-18T00:00:00Z", 9},
		{"2027-01-06T23:59:59Z", 9},
		{"2027-01-07T00:00:00Z", 4},
	} {
		at, err := time.Parse(time.RFC3339, c.at)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Effective(at)[0].Pool.Size; got != c.size {
			t.Errorf("at %s the pool has size %d, want %d", c.at, got, c.size)
		}
	}
	if got := s.Templates()[0].Pool.Size; got != 4 {
		t.Errorf("the template itself has size %d, want 4", got)
	}
}

// TestCheckVersionReportsRace checks that a change based on an outdated version of an
// object fails with an error that names the versions and the other author.
func TestCheckVersionReportsRace(t *testing.T) {
	s := apply(t, config.NewState(), parseOne(t, poolOfFour))
	err := s.CheckVersion("Template/shift", 0)
	var race *config.RaceError
	if !errors.As(err, &race) {
		t.Fatalf("got %v, want a RaceError", err)
	}
	if race.Read != 0 || race.Have != 1 || race.Author != "ana" {
		t.Errorf("got %+v, want versions 0 and 1 and author ana", race)
	}
	if err := s.CheckVersion("Template/shift", 1); err != nil {
		t.Errorf("a change based on the newest version fails: %v", err)
	}
}

// TestRemovalIsReportedAsRace guards against restoring a removed object by accident:
// an author who read that an object did not exist may not create it if it was created
// and removed meanwhile.
func TestRemovalIsReportedAsRace(t *testing.T) {
	s := apply(t, config.NewState(), parseOne(t, poolOfFour))
	s, err := s.Apply(config.Change{ID: "d", Version: 2, Author: "bo", Removed: "Template/shift"})
	if err != nil {
		t.Fatal(err)
	}
	var race *config.RaceError
	if err := s.CheckVersion("Template/shift", 0); !errors.As(err, &race) {
		t.Fatalf("got %v, want a RaceError", err)
	}
}

// TestStoredStateIsNotCheckedAgain reads back a state that another version of the
// program has written: with a field that this version does not know and with a value
// that it refuses in new documents. Checking them would make the stored state
// unreadable after an upgrade or a downgrade.
func TestStoredStateIsNotCheckedAgain(t *testing.T) {
	s := apply(t, config.NewState(), parseOne(t, poolOfFour))
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var doc map[string]any
	if err := json.Unmarshal(data, &doc); err != nil {
		t.Fatal(err)
	}
	object := doc["objects"].(map[string]any)["Template/shift"].(map[string]any)["object"].(map[string]any)
	object["invented"] = true
	object["queue"] = 0.0
	object["pool"].(map[string]any)["size"] = 30000.0
	if data, err = json.Marshal(doc); err != nil {
		t.Fatal(err)
	}
	var back config.State
	if err := json.Unmarshal(data, &back); err != nil {
		t.Fatal(err)
	}
	if got := back.Templates()[0].Pool.Size; got != 30000 {
		t.Errorf("got size %d, want the stored size 30000", got)
	}
}
