package trace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines the story of a job.

const (
	// gapFrom is for how long nothing must be logged about a job to be named a
	// gap: instances are looked at every second.
	gapFrom = time.Second
	// around is how long before its first line and after its last one what a job
	// depended on is told too.
	around = 2 * time.Second
)

// A Timeline is what the logs tell of one job.
type Timeline struct {
	ID    string
	Lines []Line
	// LeftOut is how many lines of the time in question were left out or dropped,
	// of whichever jobs, by the event that they were of; empty for any event.
	LeftOut map[string]int
	// Unreadable is how many lines of the logs could not be read.
	Unreadable int
}

// Timeline returns the story of the job called id.
func (l *Log) Timeline(id string) Timeline {
	s := Timeline{ID: id, Unreadable: l.unreadable, LeftOut: make(map[string]int)}
	for i := range l.lines {
		if l.lines[i].names(id) {
			s.Lines = append(s.Lines, l.lines[i])
		}
	}
	if len(s.Lines) == 0 {
		return s
	}
	sortLines(s.Lines)
	from, to := s.Lines[0].At.Add(-around), s.Lines[len(s.Lines)-1].At.Add(around)
	nodes, pools := s.involved()
	for i := range l.lines {
		line := &l.lines[i]
		if line.At.Before(from) || line.At.After(to) {
			continue
		}
		s.countLeftOut(line)
		if !line.names(id) && line.affects(nodes, pools) {
			s.Lines = append(s.Lines, *line)
		}
	}
	sortLines(s.Lines)
	return s
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// names reports whether a line is about a job or one of its tasks or steps.
func (l *Line) names(id string) bool {
	for _, a := range l.Attrs {
		switch a.Key {
		case "job":
			if a.Value == id {
				return true
			}
		case "task", "step":
			if strings.HasPrefix(a.Value, id+".") {
				return true
			}
		}
	}
	return false
}

// involved returns the nodes and the pools that the lines name.
func (s *Timeline) involved() (nodes, pools map[string]bool) {
	nodes, pools = make(map[string]bool), make(map[string]bool)
	for i := range s.Lines {
		nodes[s.Lines[i].Node] = true
		if pool := s.Lines[i].attr("pool"); pool != "" {
			pools[pool] = true
		}
	}
	return nodes, pools
}

// background are the events of a process on which its jobs depend.
var background = []event.Event{
	event.Started, event.Stopping, event.Stopped, event.StoreUnavailable, event.StoreRecovered, event.LeaseEnded,
	event.ConfigApplied, event.LinesDropped, event.Failed,
}

// ownership are the events of a pool's ownership.
var ownership = []event.Event{event.PoolTaken, event.PoolLost, event.PoolUnproven, event.ChangeRefused}

func (l *Line) isOneOf(events []event.Event) bool {
	return slices.ContainsFunc(events, func(e event.Event) bool { return e.Number() == l.Number })
}

// affects reports whether a line is about something on which the nodes or the
// pools depended.
func (l *Line) affects(nodes, pools map[string]bool) bool {
	return nodes[l.Node] && l.isOneOf(background) || pools[l.attr("pool")] && l.isOneOf(ownership)
}

// countLeftOut counts the lines before this one that are missing.
func (s *Timeline) countLeftOut(l *Line) {
	name, text := l.Name, l.attr(event.LeftOutAttr)
	if l.Number == event.LinesDropped.Number() {
		name, text = "", l.attr("lines")
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return // most lines have no such attribute
	}
	s.LeftOut[name] += n
}

// Write tells the story, a line each, with times from the first one about the job.
func (s *Timeline) Write(w io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "the logs say nothing of job %s%s\n", s.ID, s.caveat())
		return err
	}
	first := s.begin()
	if _, err := fmt.Fprintf(w, "job %s from %s\n", s.ID, first.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	last := s.Lines[0].At
	for i := range s.Lines {
		line := &s.Lines[i]
		if gap := line.At.Sub(last); gap >= gapFrom {
			if _, err := fmt.Fprintf(w, "%12s  nothing is logged for %v\n", "", gap.Round(time.Millisecond)); err != nil {
				return err
			}
		}
		last = line.At
		if _, err := fmt.Fprintf(w, "%+11.3fs  %-20s %s%s\n", line.At.Sub(first).Seconds(), line.Node, line.Name, line.details(s.ID)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines%s\n", len(s.Lines), s.caveat())
	return err
}

// begin returns when the first line about the job itself was logged.
func (s *Timeline) begin() time.Time {
	for i := range s.Lines {
		if s.Lines[i].names(s.ID) {
			return s.Lines[i].At
		}
	}
	return s.Lines[0].At
}

// caveat says what is missing from the story.
func (s *Timeline) caveat() string {
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(s.LeftOut)) {
		of := "any event"
		if name != "" {
			of = strconv.Quote(name)
		}
		missing = append(missing, fmt.Sprintf("%d lines of %s were left out of the logs in this time, some perhaps about this job", s.LeftOut[name], of))
	}
	if s.Unreadable > 0 {
		missing = append(missing, fmt.Sprintf("%d lines of the logs cannot be read", s.Unreadable))
	}
	if len(missing) == 0 {
		return ", none left out"
	}
	return "; " + strings.Join(missing, "; ")
}

// details returns a line's attributes but for the job's name.
func (l *Line) details(id string) string {
	var b strings.Builder
	for _, a := range l.Attrs {
		if a.Key == "job" && a.Value == id {
			continue
		}
		value := strings.TrimPrefix(a.Value, id)
		if isTime(a.Key) {
			value = inTime(a.Value)
		}
		fmt.Fprintf(&b, " %s=%s", a.Key, value)
	}
	return b.String()
}

// isTime reports whether an attribute is a duration, which lines hold in
// nanoseconds.
func isTime(key string) bool {
	switch key {
	case "after", "took", "waited", "expected", "objective", "startedAfter", "expiresIn", "age", "unchanged", "avoidedFor", "left":
		return true
	}
	return false
}

func inTime(text string) string {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return text // it is no number of nanoseconds after all
	}
	return time.Duration(n).Round(time.Millisecond).String()
}
