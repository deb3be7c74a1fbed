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

// This file defines log lines and how they are parsed.

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	At     time.Time
	Node   string
	Name   string // of the event
	Number int    // of the event
	// Attrs holds the other attributes, in their order in the line.
	Attrs []Attr
}

// Attr is an attribute of a line.
type Attr struct {
	Key, Value string
}

// attr returns the value of an attribute, or "" if the line does not have it.
func (l *Line) attr(key string) string {
	for _, a := range l.Attrs {
		if a.Key == key {
			return a.Value
		}
	}
	return ""
}

// Log holds the lines read from one or more logs.
type Log struct {
	lines      []Line
	unreadable int
}

// Unreadable returns how many lines could not be parsed.
func (l *Log) Unreadable() int { return l.unreadable }

// Read adds the lines of one process's log. It fails if r fails; it counts the lines that it cannot
// parse or that have more than maxLineBytes.
func (l *Log) Read(r io.Reader) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, tooLong, err := readLine(in)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if tooLong {
			l.unreadable++
			continue
		}
		l.add(strings.TrimSpace(text))
	}
}

// readLine reads a line without its end. It reports whether the line is longer than in's buffer, and
// returns no text in that case. It fails with io.EOF after the last line.
func readLine(in *bufio.Reader) (text string, tooLong bool, err error) {
	data, more, err := in.ReadLine()
	if err != nil {
		return "", false, err
	}
	if !more {
		return string(data), false, nil
	}
	for more && err == nil {
		_, more, err = in.ReadLine()
	}
	if err == io.EOF {
		err = nil // the long line is the last one; the next call reports the end
	}
	return "", true, err
}

// add adds the line with the given text, unless the text is empty.
func (l *Log) add(text string) {
	if text == "" {
		return
	}
	line, err := parseLine(text)
	if err != nil {
		l.unreadable++
		return
	}
	l.lines = append(l.lines, line)
}

// parseLine parses a line. Text before the first brace is a prefix added by a log
// collector, and is ignored.
func parseLine(text string) (Line, error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, fmt.Errorf("line %q contains no JSON object", text)
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
		if err := line.setAttr(key.(string), value); err != nil {
			return Line{}, err
		}
	}
	_, err := d.Token()
	return line, err
}

// setAttr stores one attribute of a line in the field for it, or in Attrs.
func (l *Line) setAttr(key string, value any) error {
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
