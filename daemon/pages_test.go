package daemon

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pointport/pointport/settings"
)

// rows returns the first cell, without its backquotes, of each row of a page's
// tables that begins with a backquote.
func rows(t *testing.T, page string) []string {
	t.Helper()
	data, err := os.ReadFile("../docs/operators/" + page)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(data), -1) {
		out = append(out, strings.TrimPrefix(m[1], "-"))
	}
	slices.Sort(out)
	return out
}

func compare(t *testing.T, page string, code []string) {
	t.Helper()
	listed := rows(t, page)
	for _, name := range code {
		if !slices.Contains(listed, name) {
			t.Errorf("docs/operators/%s lacks %s", page, name)
		}
	}
	for _, name := range listed {
		if !slices.Contains(code, name) {
			t.Errorf("docs/operators/%s lists %s, which does not exist", page, name)
		}
	}
}

// TestSettingsPage keeps the page of settings and the flags the same.
func TestSettingsPage(t *testing.T) {
	set := settings.New()
	new(Settings).Define(set)
	compare(t, "settings.md", set.AllNames())
}

// TestMetricsPage keeps the page of metrics and what is served the same.
func TestMetricsPage(t *testing.T) {
	_, _, platform := startPlatform(t)
	e := startEntry(t, platform, "a")
	if err := put(t, e, "0", shiftTemplate); err != nil {
		t.Fatal(err)
	}
	until(t, "a request is answered", func() bool {
		status, _ := askWith(e.Address("callers")+"/shift", nil)
		return status == 200
	})
	_, body := askWith(e.Address("metrics")+"/metrics", nil)
	var names []string
	for _, m := range regexp.MustCompile(`(?m)^# TYPE (pointport_\w+) `).FindAllStringSubmatch(body, -1) {
		names = append(names, m[1])
	}
	compare(t, "metrics.md", names)
}

// TestEverySettingIsChecked gives every setting a wrong value at once. Each must
// be named with its value.
func TestEverySettingIsChecked(t *testing.T) {
	set := settings.New()
	new(Settings).Define(set)
	wrong := func(name string) (string, bool) { return "no such value!", strings.HasPrefix(name, settings.Prefix) }
	err := set.Load(newFlags(set), wrong)
	if err == nil {
		t.Fatal("wrong settings were taken")
	}
	for _, name := range set.AllNames() {
		if want := "-" + name + " (" + settings.Env(name) + "): \"no such value!\": must"; !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not say %s", want)
		}
	}
}
