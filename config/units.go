package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// This file defines the values of documents that are written with a unit, the
// errors of invalid documents, and the checks of fields.

// A Duration is a length of time in a document, written with its unit, such as
// "250ms". Decoding keeps text that cannot be parsed, so that the check can name
// the field.
type Duration struct {
	raw     string
	value   time.Duration
	invalid bool // raw cannot be parsed
}

// NewDuration returns d as a Duration.
func NewDuration(d time.Duration) Duration { return Duration{raw: d.String(), value: d} }

// Value returns the length of time, zero if the text could not be parsed.
func (d Duration) Value() time.Duration { return d.value }

// String returns the text of the duration as it was written.
func (d Duration) String() string { return d.raw }

// Valid reports whether the text of the duration could be parsed.
func (d Duration) Valid() bool { return !d.invalid }

// UnmarshalJSON reads a duration. It returns no error for text that cannot be
// parsed: see Duration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		*d = Duration{raw: string(data), invalid: true}
		return nil
	}
	v, err := time.ParseDuration(s)
	*d = Duration{raw: s, value: v, invalid: err != nil}
	return nil
}

// MarshalJSON returns the duration's text as it was written.
func (d Duration) MarshalJSON() ([]byte, error) {
	if d.raw == "" {
		return json.Marshal(d.value.String())
	}
	return json.Marshal(d.raw)
}

// IsZero reports whether the duration is absent or zero.
func (d Duration) IsZero() bool { return d.value == 0 && !d.invalid }

// A Count is a number of instances in a document, written as a number ("3") or as
// a percentage of a pool's size ("10%"). Decoding keeps text that cannot be parsed,
// so that the check can name the field.
type Count struct {
	raw      string
	absolute int     // zero for a percentage
	percent  float64 // zero for an absolute count
	invalid  bool    // raw cannot be parsed
}

// AbsoluteCount returns a Count of n instances.
func AbsoluteCount(n int) Count { return Count{raw: strconv.Itoa(n), absolute: n} }

// Percent returns a Count of p percent of a pool's size.
func Percent(p float64) Count {
	return Count{raw: strconv.FormatFloat(p, 'g', -1, 64) + "%", percent: p}
}

func parseCount(s string) Count {
	if p, ok := strings.CutSuffix(s, "%"); ok {
		v, err := strconv.ParseFloat(p, 64)
		return Count{raw: s, percent: v, invalid: err != nil}
	}
	n, err := strconv.Atoi(s)
	return Count{raw: s, absolute: n, invalid: err != nil}
}

// RoundDown returns the number of instances in a pool of the given size, rounded
// down.
func (c Count) RoundDown(size int) int { return c.absolute + int(c.percent*float64(size)/100) }

// RoundUp returns the number of instances in a pool of the given size, rounded up.
func (c Count) RoundUp(size int) int {
	part := c.percent * float64(size) / 100
	n := int(part)
	if float64(n) < part {
		n++
	}
	return c.absolute + n
}

// String returns the text of the count as it was written.
func (c Count) String() string { return c.raw }

// IsZero reports whether the count is absent.
func (c Count) IsZero() bool { return c.raw == "" }

// UnmarshalJSON reads a count. It returns no error for text that cannot be parsed:
// see Count.
func (c *Count) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err == nil {
		*c = parseCount(s)
		return nil
	}
	*c = parseCount(string(data))
	return nil
}

// MarshalJSON returns the count's text as it was written.
func (c Count) MarshalJSON() ([]byte, error) { return json.Marshal(c.raw) }

// A FieldError reports an invalid field of a document.
type FieldError struct {
	Source string // file or request that held the document
	Field  string // path of the field, such as "routes[0].timeout"
	Value  string // value as it was written
	Reason string // why the value is invalid
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %q: %s", e.Source, e.Field, e.Value, e.Reason)
}

// A CheckError holds the errors of all invalid fields.
type CheckError struct {
	Fields []*FieldError
}

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors of the fields.
func (e *CheckError) Unwrap() []error {
	errs := make([]error, len(e.Fields))
	for i, f := range e.Fields {
		errs[i] = f
	}
	return errs
}

// A checker collects the errors of one document's fields. Its methods add an error if the
// value of a field is invalid.
type checker struct {
	source string
	fields []*FieldError
}

func (c *checker) fail(field, value, format string, args ...any) {
	c.fields = append(c.fields, &FieldError{c.source, field, value, fmt.Sprintf(format, args...)})
}

func (c *checker) name(field, value string) {
	if value == "" {
		c.fail(field, value, "must not be empty")
		return
	}
	if len(value) > maxNameLength {
		c.fail(field, value, "must not be longer than %d bytes", maxNameLength)
		return
	}
	for _, r := range value {
		if !isNameRune(r) {
			c.fail(field, value, "may hold only a-z, 0-9, '-' and '.'")
			return
		}
	}
}

const maxNameLength = 63

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '.'
}

func (c *checker) between(field string, value, low, high int) {
	if value < low || value > high {
		c.fail(field, strconv.Itoa(value), "must be from %d to %d", low, high)
	}
}

func (c *checker) betweenFloat(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.fail(field, strconv.FormatFloat(value, 'g', -1, 64), "must be from %g to %g", low, high)
	}
}

func (c *checker) duration(field string, value Duration, low, high time.Duration) {
	switch {
	case value.invalid:
		c.fail(field, value.raw, "must be a duration with its unit, such as \"250ms\"")
	case value.value < low || value.value > high:
		c.fail(field, value.raw, "must be from %v to %v", low, high)
	}
}

func (c *checker) count(field string, value Count) {
	switch {
	case value.invalid:
		c.fail(field, value.raw, "must be a whole number of instances or a part of the pool, such as \"3\" or \"10%%\"")
	case value.absolute < 0 || value.absolute > maxPoolSize:
		c.fail(field, value.raw, "must be from 0 to %d", maxPoolSize)
	case !(value.percent >= 0 && value.percent <= 100):
		c.fail(field, value.raw, "must be from 0%% to 100%%")
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.fail(field, value, "must be one of %s", strings.Join(allowed, ", "))
}

func (c *checker) err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return &CheckError{c.fields}
}
