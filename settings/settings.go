// Package settings reads a program's settings from flags and environment
// variables, and validates all of them before the program starts anything.
//
// A Set holds settings by name. The flag -zone and the environment variable
// POINTPORT_ZONE are the same setting; the flag takes precedence. Every setting is
// kept as text until Set.Load parses all of them and reports all errors at once.
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

// This file defines sets of settings and the types of settings.

// Prefix is the prefix of the names of all environment variables.
const Prefix = "POINTPORT_"

// setting is one setting. It implements flag.Value.
type setting struct {
	name  string
	help  string
	text  string
	parse func(text string) error
	// isBool is whether the flag may be given without a value, which means true.
	isBool bool
}

var _ flag.Value = (*setting)(nil)

// String returns the value as text.
func (st *setting) String() string { return st.text }

// Set sets the value as text. It never fails: Load validates the value with all others.
func (st *setting) Set(text string) error {
	st.text = text
	return nil
}

// IsBoolFlag reports whether the flag may be given without a value.
func (st *setting) IsBoolFlag() bool { return st.isBool }

// Set holds the settings of one subcommand.
type Set struct {
	byName map[string]*setting
}

// New returns an empty set.
func New() *Set { return &Set{byName: make(map[string]*setting)} }

// Error describes an invalid value of a setting.
type Error struct {
	Name   string // of the flag, without the dash
	Value  string
	Reason string
}

func (e *Error) Error() string {
	return fmt.Sprintf("-%s (%s): %q: %s", e.Name, Env(e.Name), e.Value, e.Reason)
}

// Env returns the name of a setting's environment variable.
func Env(name string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Add defines a setting with a default value, a help text and a function that parses and
// stores the value. The error of parse becomes the Reason of an Error. Add panics if the
// set has a setting of this name.
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

// Name defines a setting that must be a name of letters, digits, '-', '.' and '_'.
func (s *Set) Name(target *string, name, value, help string) {
	s.Add(name, value, help, func(text string) error {
		*target = text
		return checkName(text)
	})
}

var errInvalidName = errors.New("must be a name of letters, digits, '-', '.' and '_'")

func checkName(text string) error {
	if text == "" {
		return errInvalidName
	}
	for _, r := range text {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-._", r)
		if !ok {
			return errInvalidName
		}
	}
	return nil
}

// Names defines a setting that is a comma-separated list of names.
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

// URL defines a setting that is an HTTP URL or one of the other values in allowed, such as
// "".
func (s *Set) URL(target *string, name, value, help string, allowed ...string) {
	s.Add(name, value, help, func(text string) error {
		*target = text
		for _, a := range allowed {
			if text == a {
				return nil
			}
		}
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("must be a URL such as http://10.0.0.1:7000%s", alternatives(allowed))
		}
		return nil
	})
}

// alternatives formats values as further options, to be appended to an error message.
func alternatives(values []string) string {
	out := ""
	for _, v := range values {
		out += fmt.Sprintf(", or %q", v)
	}
	return out
}

// Duration defines a setting that is a duration with its unit, from low to high.
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

// Int defines a setting that is a whole number from low to high.
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

// Float defines a setting that is a number from low to high.
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
	s.byName[name].isBool = true
}

// OneOf defines a setting that is one of the allowed values, which are appended to the help
// text.
func (s *Set) OneOf(target *string, name, value, help string, allowed ...string) {
	s.Add(name, value, help+" ("+strings.Join(allowed, ", ")+")", func(text string) error {
		for _, a := range allowed {
			if text == a {
				*target = text
				return nil
			}
		}
		return fmt.Errorf("must be one of %s", strings.Join(allowed, ", "))
	})
}

// Register adds the settings to a subcommand's flags. The help text of each flag ends with
// its environment variable.
func (s *Set) Register(f *flag.FlagSet) {
	for _, st := range s.sorted() {
		f.Var(st, st.name, st.help+" ["+Env(st.name)+"]")
	}
}

func (s *Set) sorted() []*setting {
	var out []*setting
	for _, st := range s.byName {
		out = append(out, st)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].name < out[b].name })
	return out
}

// AllNames returns the names of all settings, sorted.
func (s *Set) AllNames() []string {
	var out []string
	for _, st := range s.sorted() {
		out = append(out, st.name)
	}
	return out
}

// Help returns the help text of a setting. The set must have a setting of this name.
func (s *Set) Help(name string) string { return s.byName[name].help }

// Load parses every setting: the flag's value in f if the flag was given, otherwise the
// environment variable's value if lookup finds one, otherwise the default. Its error joins
// an *Error for each setting whose value is invalid.
func (s *Set) Load(f *flag.FlagSet, lookup func(string) (string, bool)) error {
	given := make(map[string]bool)
	f.Visit(func(g *flag.Flag) { given[g.Name] = true })
	var errs []error
	for _, st := range s.sorted() {
		if v, ok := lookup(Env(st.name)); ok && !given[st.name] {
			st.text = v
		}
		if err := st.parse(st.text); err != nil {
			errs = append(errs, &Error{st.name, st.text, err.Error()})
		}
	}
	return errors.Join(errs...)
}
