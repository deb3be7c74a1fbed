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

// This file defines the timeline of a job.

const (
	// minGap is the shortest time without a line that is shown as a gap. Instances are
	// polled every second, so shorter gaps are normal.
	minGap = time.Second
	// contextWindow is how long before a job's first line and after its last one the
	// lines about what the job depended on are included.
	contextWindow = 2 * time.Second
)

// Timeline holds the log lines that concern one job, oldest first.
type Timeline struct {
	ID    string // of the job
	Lines []Line
	// LeftOut is how many lines were omitted from the logs by the rate limit or
	// dropped during the time that the timeline covers, about any job, by event name.
	// The key "" counts dropped lines, whose events are unknown.
	LeftOut map[string]int
	// Unreadable is how many lines of the logs could not be parsed.
	Unreadable int
}

// Timeline returns the timeline of the job with this ID. It has no lines if no line
// mentions the job.
func (l *Log) Timeline(id string) Timeline {
	t := Timeline{ID: id, Unreadable: l.unreadable, LeftOut: make(map[string]int)}
	for i := range l.lines {
		if l.lines[i].mentions(id) {
			t.Lines = append(t.Lines, l.lines[i])
		}
	}
	if len(t.Lines) == 0 {
		return t
	}
	sortLines(t.Lines)
	from, to := t.Lines[0].At.Add(-contextWindow), t.Lines[len(t.Lines)-1].At.Add(contextWindow)
	nodes, pools := t.nodesAndPools()
	for i := range l.lines {
		line := &l.lines[i]
		if line.At.Before(from) || line.At.After(to) {
			continue
		}
		t.countLeftOut(line)
		if !line.mentions(id) && line.providesContext(nodes, pools) {
			t.Lines = append(t.Lines, *line)
		}
	}
	sortLines(t.Lines)
	return t
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// mentions reports whether the line names a job, or one of its tasks or steps.
func (l *Line) mentions(id string) bool {
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

// nodesAndPools returns the nodes that logged the lines, and the pools that the lines name.
func (t *Timeline) nodesAndPools() (nodes, pools map[string]bool) {
	nodes, pools = make(map[string]bool), make(map[string]bool)
	for i := range t.Lines {
		nodes[t.Lines[i].Node] = true
		if pool := t.Lines[i].attr("pool"); pool != "" {
			pools[pool] = true
		}
	}
	return nodes, pools
}

// processEvents are the events of a process that affect all of its jobs.
var processEvents = []event.Event{
	event.Started, event.Stopping, event.Stopped, event.StoreUnavailable, event.StoreRecovered, event.LeaseEnded,
	event.ConfigApplied, event.LinesDropped, event.Failed,
}

// ownershipEvents are the events about the ownership of a pool.
var ownershipEvents = []event.Event{event.PoolTaken, event.PoolLost, event.PoolUnproven, event.ChangeRefused}

func (l *Line) isOneOf(events []event.Event) bool {
	return slices.ContainsFunc(events, func(e event.Event) bool { return e.Number() == l.Number })
}

// providesContext reports whether the line is an event of one of the nodes that affects all
// of its jobs, or an event about the ownership of one of the pools.
func (l *Line) providesContext(nodes, pools map[string]bool) bool {
	return nodes[l.Node] && l.isOneOf(processEvents) || pools[l.attr("pool")] && l.isOneOf(ownershipEvents)
}

// countLeftOut adds the number of omitted or dropped lines that the line reports, if any.
func (t *Timeline) countLeftOut(l *Line) {
	name, text := l.Name, l.attr(event.LeftOutAttr)
	if l.Number == event.LinesDropped.Number() {
		name, text = "", l.attr("lines")
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return // most lines have no such attribute
	}
	t.LeftOut[name] += n
}

// Write writes the timeline as text, one log line per row. Times are relative to the first
// line that mentions the job.
func (t *Timeline) Write(w io.Writer) error {
	if len(t.Lines) == 0 {
		_, err := fmt.Fprintf(w, "the logs say nothing of job %s%s\n", t.ID, t.omissions())
		return err
	}
	first := t.firstMention()
	if _, err := fmt.Fprintf(w, "job %s from %s\n", t.ID, first.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	last := t.Lines[0].At
	for i := range t.Lines {
		line := &t.Lines[i]
		if gap := line.At.Sub(last); gap >= minGap {
			if _, err := fmt.Fprintf(w, "%12s  nothing is logged for %v\n", "", gap.Round(time.Millisecond)); err != nil {
				return err
			}
		}
		last = line.At
		if _, err := fmt.Fprintf(w, "%+11.3fs  %-20s %s%s\n", line.At.Sub(first).Seconds(), line.Node, line.Name, line.details(t.ID)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines%s\n", len(t.Lines), t.omissions())
	return err
}

// firstMention returns the time of the first line that mentions the job.
func (t *Timeline) firstMention() time.Time {
	for i := range t.Lines {
		if t.Lines[i].mentions(t.ID) {
			return t.Lines[i].At
		}
	}
	return t.Lines[0].At
}

// omissions describes how many lines are missing from the timeline.
func (t *Timeline) omissions() string {
	var missing []string
	for _, name := range slices.Sorted(maps.Keys(t.LeftOut)) {
		of := "any event"
		if name != "" {
			of = strconv.Quote(name)
		}
		missing = append(missing, fmt.Sprintf("%d lines of %s were left out of the logs in this time, some perhaps about this job", t.LeftOut[name], of))
	}
	if t.Unreadable > 0 {
		missing = append(missing, fmt.Sprintf("%d lines of the logs cannot be read", t.Unreadable))
	}
	if len(missing) == 0 {
		return ", none left out"
	}
	return "; " + strings.Join(missing, "; ")
}

// details formats a line's attributes, without the attribute that names the job. IDs of the
// job's tasks and steps are shortened by the job's ID.
func (l *Line) details(id string) string {
	var b strings.Builder
	for _, a := range l.Attrs {
		if a.Key == "job" && a.Value == id {
			continue
		}
		value := strings.TrimPrefix(a.Value, id)
		if isDuration(a.Key) {
			value = formatDuration(a.Value)
		}
		fmt.Fprintf(&b, " %s=%s", a.Key, value)
	}
	return b.String()
}

// isDuration reports whether an attribute is a duration, which log lines state in
// nanoseconds.
func isDuration(key string) bool {
	switch key {
	case "after", "took", "waited", "expected", "objective", "startedAfter", "expiresIn", "age", "unchanged", "avoidedFor", "left":
		return true
	}
	return false
}

// formatDuration formats a number of nanoseconds as a duration, rounded to milliseconds. It
// returns any other text unchanged.
func formatDuration(text string) string {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return text
	}
	return time.Duration(n).Round(time.Millisecond).String()
}
