package settings_test

import (
	"bytes"
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport/settings"
)

// loadSettings loads the settings that define adds, from arguments and an environment.
func loadSettings(t *testing.T, define func(*settings.Set), args []string, env map[string]string) error {
	t.Helper()
	set := settings.New()
	define(set)
	f := flag.NewFlagSet("test", flag.ContinueOnError)
	f.SetOutput(&bytes.Buffer{})
	set.Register(f)
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	return set.Load(f, func(name string) (string, bool) {
		v, ok := env[name]
		return v, ok
	})
}

// TestFlagOverridesEnvironment checks the precedence of the flag, the environment variable
// and the default. An invalid variable is no error if the flag is given.
func TestFlagOverridesEnvironment(t *testing.T) {
	for _, c := range []struct {
		args []string
		env  map[string]string
		want time.Duration
	}{
		{nil, nil, time.Second},
		{nil, map[string]string{"POINTPORT_STOP_NOTICE": "2s"}, 2 * time.Second},
		{[]string{"-stop-notice=3s"}, map[string]string{"POINTPORT_STOP_NOTICE": "2s"}, 3 * time.Second},
		{[]string{"-stop-notice=3s"}, map[string]string{"POINTPORT_STOP_NOTICE": "wrong"}, 3 * time.Second},
	} {
		var got time.Duration
		err := loadSettings(t, func(s *settings.Set) { s.Duration(&got, "stop-notice", time.Second, "", 0, time.Minute) }, c.args, c.env)
		if err != nil || got != c.want {
			t.Errorf("%v, %v: got %v, %v, want %v", c.args, c.env, got, err, c.want)
		}
	}
}

// TestBoolFlagWithoutValue checks that a boolean flag without a value means true.
func TestBoolFlagWithoutValue(t *testing.T) {
	for arg, want := range map[string]bool{"-keyed": true, "-keyed=true": true, "-keyed=false": false} {
		got := !want
		if err := loadSettings(t, func(s *settings.Set) { s.Bool(&got, "keyed", false, "") }, []string{arg}, nil); err != nil || got != want {
			t.Errorf("%s: got %v, %v", arg, got, err)
		}
	}
}

// TestInvalidValues checks that one call of Load reports every invalid value, with its flag,
// its environment variable and the reason.
func TestInvalidValues(t *testing.T) {
	var text string
	var list []string
	var n int
	var x float64
	err := loadSettings(t, func(s *settings.Set) {
		s.Address(&text, "host", "example.org:80", "")
		s.Address(&text, "port", "127.0.0.1:70000", "")
		s.URL(&text, "scheme", "https://10.0.0.1", "", "embedded")
		s.Names(&list, "names", "a,,b", "")
		s.Int(&n, "whole", 11, "", 1, 10)
		s.Float(&x, "number", 0, "", 1, 10)
		s.OneOf(&text, "word", "c", "", "a", "b")
	}, nil, nil)
	if err == nil {
		t.Fatal("invalid values were accepted")
	}
	for _, want := range []string{
		`-host (POINTPORT_HOST): "example.org:80": must name an IP address`,
		`-port (POINTPORT_PORT): "127.0.0.1:70000": must name a port`,
		`-scheme (POINTPORT_SCHEME): "https://10.0.0.1": must be a URL such as http://10.0.0.1:7000, or "embedded"`,
		`-names (POINTPORT_NAMES): "a,,b": must be a name`,
		`-whole (POINTPORT_WHOLE): "11": must be from 1 to 10`,
		`-number (POINTPORT_NUMBER): "0": must be a number from 1 to 10`,
		`-word (POINTPORT_WORD): "c": must be one of a, b`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not contain %s:\n%v", want, err)
		}
	}
}
