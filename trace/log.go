package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines the lines of a log and how they are read.

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// A Line is one line of a log.
type Line struct {
	At     time.Time
	Node   string
	Name   string // the event's
	Number int    // the event's
	// Attrs are the other attributes, in the order of the line.
	Attrs []Attr
}

// An Attr is an attribute of a line.
type Attr struct {
	Key, Value string
}

// attr returns the value of an attribute, empty if the line has none.
func (l *Line) attr(key string) string {
	for _, a := range l.Attrs {
		if a.Key == key {
			return a.Value
		}
	}
	return ""
}

// A Log is what was read of some logs.
type Log struct {
	lines      []Line
	unreadable int
}

// Unreadable returns how many lines could not be read.
func (l *Log) Unreadable() int { return l.unreadable }

// Read takes in the lines of one process's log. It fails only if the reader does.
func (l *Log) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		text := strings.TrimSpace(in.Text())
		if text == "" {
			continue
		}
		line, err := parse(text)
		if err != nil {
			l.unreadable++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return in.Err()
}

// parse reads a line. What precedes the first brace is a collector's prefix.
func parse(text string) (Line, error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, fmt.Errorf("no JSON in line %q", text)
	}
	d := json.NewDecoder(strings.NewReader(text[start:]))
	d.UseNumber()
	if _, err := d.Token(); err != nil {
		return Line{}, err
	}
	var line Line
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return Line{}, err
		}
		var value any
		if err := d.Decode(&value); err != nil {
			return Line{}, err
		}
		if err := line.set(key.(string), value); err != nil {
			return Line{}, err
		}
	}
	_, err := d.Token()
	return line, err
}

// set takes in one attribute of a line.
func (l *Line) set(key string, value any) error {
	text := fmt.Sprint(value)
	switch key {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, text)
		l.At = at
		return err
	case "level":
	case "msg":
		l.Name = text
	case "node":
		l.Node = text
	case event.NumberAttr:
		_, err := fmt.Sscan(text, &l.Number)
		return err
	default:
		if value != nil {
			l.Attrs = append(l.Attrs, Attr{key, text})
		}
	}
	return nil
}
