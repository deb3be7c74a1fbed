package query

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
)

// This file defines the audit trail: the changes by operators and those by the
// system itself.

// DefaultAuditLimit is the default maximum number of entries in an answer.
const DefaultAuditLimit = 100

// An Entry is an entry of the audit trail.
type Entry struct {
	At      time.Time         `json:"at"`
	Author  string            `json:"author"`
	Object  string            `json:"object"`
	Action  string            `json:"action"`
	Reason  string            `json:"reason,omitempty"`
	Version pointport.Version `json:"version"`
	Change  string            `json:"change"`
}

// A Filter selects entries. A zero field selects all, but a Limit of zero means
// DefaultAuditLimit. Since is inclusive, Until exclusive.
type Filter struct {
	Since  time.Time
	Until  time.Time
	Author string
	Object string
	Limit  int
}

func (f Filter) matches(e Entry) bool {
	return (f.Author == "" || e.Author == f.Author) &&
		(f.Object == "" || e.Object == f.Object) &&
		!e.At.Before(f.Since) && (f.Until.IsZero() || e.At.Before(f.Until))
}

// Audit returns the entries that f selects, the newest first.
func (s *Source) Audit(ctx context.Context, f Filter) ([]Entry, error) {
	if f.Limit <= 0 {
		f.Limit = DefaultAuditLimit
	}
	entries, err := s.configEntries(ctx, f)
	if err != nil {
		return nil, err
	}
	for _, zone := range s.Zones {
		more, err := s.assignEntries(ctx, s.Assign[zone], f)
		if err != nil {
			return nil, err
		}
		entries = append(entries, more...)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return b.At.Compare(a.At) })
	return entries[:min(len(entries), f.Limit)], nil
}

func (s *Source) configEntries(ctx context.Context, f Filter) ([]Entry, error) {
	changes, err := s.Config.History(ctx, f.Limit, func(c config.Change) bool { return f.matches(entryOfConfigChange(c)) })
	if err != nil {
		return nil, err
	}
	out := make([]Entry, 0, len(changes))
	for _, c := range changes {
		out = append(out, entryOfConfigChange(c))
	}
	return out, nil
}

func entryOfConfigChange(c config.Change) Entry {
	action := "removed"
	if c.Object != nil {
		action = fmt.Sprintf("set, from version %d", c.From)
		if c.From == 0 {
			action = "created"
		}
	}
	return Entry{c.At, c.Author, c.Target(), action, c.Reason, c.Version, c.ID}
}

func (s *Source) assignEntries(ctx context.Context, log *AssignLog, f Filter) ([]Entry, error) {
	changes, err := log.History(ctx, f.Limit, func(c assign.Change) bool {
		return slices.ContainsFunc(entriesOfAssignChange(c), f.matches)
	})
	if err != nil {
		return nil, err
	}
	out := []Entry{}
	for _, c := range changes {
		for _, e := range entriesOfAssignChange(c) {
			if f.matches(e) {
				out = append(out, e)
			}
		}
	}
	return out, nil
}

func entriesOfAssignChange(c assign.Change) []Entry {
	var out []Entry
	for _, step := range c.Steps {
		action := "forgotten"
		if step.After != nil {
			action = "now " + string(step.After.Phase)
			if step.After.Pool != "" {
				action += " in " + step.After.Pool
			}
		}
		if step.From != "" {
			action += ", was " + step.From
		}
		out = append(out, Entry{c.At, c.Author, "Instance/" + string(step.Instance), action, step.Reason, c.Version, c.ID})
	}
	for _, w := range c.Waves {
		out = append(out, Entry{c.At, c.Author, "Wave/" + w.Name, waveAction(w), w.Stopped, c.Version, c.ID})
	}
	return out
}

func waveAction(w assign.Wave) string {
	switch {
	case w.Stopped != "":
		return "stopped itself"
	case !w.Ended.IsZero():
		return "ended"
	}
	return fmt.Sprintf("done %d, failed %d, passed by %d", w.Done, w.FailedCount, w.PassedCount)
}
