// Package settings reads a program's settings from flags and environment
// variables, and checks all of them before anything starts.
//
// The model: a Set holds settings by name. The flag -zone and the environment
// variable POINTPORT_ZONE are the same setting; the flag wins. Every setting is
// kept as text until Load, which reports everything that is wrong at once.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"
)

// This file defines the set of settings and their types.

// Prefix starts the name of every environment variable.
const Prefix = "POINTPORT_"

// A setting is one value that a user may set.
type setting struct {
	name  string
	help  string
	text  string
	parse func(text string) error
	// alone says that the flag may stand without a value, for true.
	alone bool
}

var _ flag.Value = (*setting)(nil)

// String returns the value as text.
func (e *setting) String() string { return e.text }

// Set takes a value as text. It is checked with all others, by Load.
func (e *setting) Set(text string) error {
	e.text = text
	return nil
}

// IsBoolFlag reports whether the flag may stand without a value.
func (e *setting) IsBoolFlag() bool { return e.alone }

// A Set is the settings of one subcommand.
type Set struct {
	byName map[string]*setting
}

// New returns an empty set.
func New() *Set { return &Set{byName: make(map[string]*setting)} }

// An Error says which setting is wrong, and how.
type Error struct {
	Name   string // as a flag, without its dash
	Value  string
	Reason string
}

func (e *Error) Error() string {
	return fmt.Sprintf("-%s (%s): %q: %s", e.Name, Env(e.Name), e.Value, e.Reason)
}

// Env returns the environment variable of a setting.
func Env(name string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Add defines a setting that parse reads. The error of parse is the reason that
// a user is told.
func (s *Set) Add(name, value, help string, parse func(text string) error) {
	if s.byName[name] != nil {
		panic("settings: " + name + " is defined twice")
	}
	s.byName[name] = &setting{name: name, help: help, text: value, parse: parse}
}

// String defines a setting that may be any text.
func (s *Set) String(target *string, name, value, help string) {
	s.Add(name, value, help, func(text string) error {
		*target = text
		return nil
	})
}

// Name defines a setting that must be a name: letters, digits, '-', '.', '_'.
func (s *Set) Name(target *string, name, value, help string) {
	s.Add(name, value, help, func(text string) error {
		*target = text
		return checkName(text)
	})
}

var errName = errors.New("must be a name of letters, digits, '-', '.' and '_'")

func checkName(text string) error {
	if text == "" {
		return errName
	}
	for _, r := range text {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-._", r)
		if !ok {
			return errName
		}
	}
	return nil
}

// Names defines a setting that is a list of names with commas between them.
func (s *Set) Names(target *[]string, name, value, help string) {
	s.Add(name, value, help, func(text string) error {
		*target = nil
		for _, part := range strings.Split(text, ",") {
			part = strings.TrimSpace(part)
			if err := checkName(part); err != nil {
				return err
			}
			*target = append(*target, part)
		}
		return nil
	})
}

// Address defines a setting that is an IP address and a port.
func (s *Set) Address(target *string, name, value, help string) {
	s.Add(name, value, help, func(text string) error {
		*target = text
		return checkAddress(text)
	})
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return errors.New("must be an IP address and a port, such as 127.0.0.1:8080")
	}
	if host != "" && net.ParseIP(host) == nil {
		return errors.New("must name an IP address, not a host name")
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return errors.New("must name a port from 0 to 65535")
	}
	return nil
}

// URL defines a setting that is an HTTP URL, or empty if empty is allowed.
func (s *Set) URL(target *string, name, value, help string, words ...string) {
	s.Add(name, value, help, func(text string) error {
		*target = text
		for _, w := range words {
			if text == w {
				return nil
			}
		}
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("must be a URL such as http://10.0.0.1:7000%s", orWords(words))
		}
		return nil
	})
}

func orWords(words []string) string {
	out := ""
	for _, w := range words {
		out += fmt.Sprintf(", or %q", w)
	}
	return out
}

// Duration defines a setting that is a length of time with its unit.
func (s *Set) Duration(target *time.Duration, name string, value time.Duration, help string, low, high time.Duration) {
	s.Add(name, value.String(), help, func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.New("must be a duration with its unit, such as 250ms")
		}
		if d < low || d > high {
			return fmt.Errorf("must be from %v to %v", low, high)
		}
		*target = d
		return nil
	})
}

// Int defines a setting that is a whole number.
func (s *Set) Int(target *int, name string, value int, help string, low, high int) {
	s.Add(name, strconv.Itoa(value), help, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.New("must be a whole number")
		}
		if n < low || n > high {
			return fmt.Errorf("must be from %d to %d", low, high)
		}
		*target = n
		return nil
	})
}

// Float defines a setting that is a number.
func (s *Set) Float(target *float64, name string, value float64, help string, low, high float64) {
	s.Add(name, strconv.FormatFloat(value, 'g', -1, 64), help, func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || !(n >= low && n <= high) {
			return fmt.Errorf("must be a number from %g to %g", low, high)
		}
		*target = n
		return nil
	})
}

// Bool defines a setting that is true or false.
func (s *Set) Bool(target *bool, name string, value bool, help string) {
	s.Add(name, strconv.FormatBool(value), help, func(text string) error {
		b, err := strconv.ParseBool(text)
		if err != nil {
			return errors.New("must be true or false")
		}
		*target = b
		return nil
	})
	s.byName[name].alone = true
}

// OneOf defines a setting that is one of a few words.
func (s *Set) OneOf(target *string, name, value, help string, words ...string) {
	s.Add(name, value, help+" ("+strings.Join(words, ", ")+")", func(text string) error {
		for _, w := range words {
			if text == w {
				*target = text
				return nil
			}
		}
		return fmt.Errorf("must be one of %s", strings.Join(words, ", "))
	})
}

// Register adds the settings to a subcommand's flags.
func (s *Set) Register(f *flag.FlagSet) {
	for _, e := range s.sorted() {
		f.Var(e, e.name, e.help+" ["+Env(e.name)+"]")
	}
}

func (s *Set) sorted() []*setting {
	var out []*setting
	for _, e := range s.byName {
		out = append(out, e)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].name < out[b].name })
	return out
}

// AllNames returns the names of every setting, sorted.
func (s *Set) AllNames() []string {
	var out []string
	for _, e := range s.sorted() {
		out = append(out, e.name)
	}
	return out
}

// Help returns what a setting is for.
func (s *Set) Help(name string) string { return s.byName[name].help }

// Load reads every setting: from f if the flag was given, else from the
// environment, else its default. Its error joins an *Error for each setting
// that is wrong.
func (s *Set) Load(f *flag.FlagSet, lookup func(string) (string, bool)) error {
	given := make(map[string]bool)
	f.Visit(func(g *flag.Flag) { given[g.Name] = true })
	var errs []error
	for _, e := range s.sorted() {
		if v, ok := lookup(Env(e.name)); ok && !given[e.name] {
			e.text = v
		}
		if err := e.parse(e.text); err != nil {
			errs = append(errs, &Error{e.name, e.text, err.Error()})
		}
	}
	return errors.Join(errs...)
}
