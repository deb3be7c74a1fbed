package daemon

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pointport/pointport/settings"
)

// listedNames returns the names in the tables of a page: the first cell of each
// row that begins with a backquote, without backquotes and a leading dash.
func listedNames(t *testing.T, page string) []string {
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

// compareWithPage checks that the tables of a page list exactly the names that
// the code defines.
func compareWithPage(t *testing.T, page string, code []string) {
	t.Helper()
	listed := listedNames(t, page)
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

// TestSettingsPageMatchesFlags checks that the settings page documents exactly the
// flags of pointportd.
func TestSettingsPageMatchesFlags(t *testing.T) {
	set := settings.New()
	new(Settings).Define(set)
	compareWithPage(t, "settings.md", set.AllNames())
}

// TestMetricsPageMatchesMetrics checks that the metrics page documents exactly the
// metrics that are served after a first request.
func TestMetricsPageMatchesMetrics(t *testing.T) {
	_, _, platform := startPlatform(t)
	e := startEntry(t, platform, "a")
	if err := putConfig(t, e, "0", shiftTemplate); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a request is answered", func() bool {
		status, _ := get(e.Address("callers")+"/shift", nil)
		return status == 200
	})
	_, body := get(e.Address("metrics")+"/metrics", nil)
	var names []string
	for _, m := range regexp.MustCompile(`(?m)^# TYPE (pointport_\w+) `).FindAllStringSubmatch(body, -1) {
		names = append(names, m[1])
	}
	compareWithPage(t, "metrics.md", names)
}

// TestEverySettingIsChecked gives all settings an invalid value at once. The error
// must name each setting with its value.
func TestEverySettingIsChecked(t *testing.T) {
	set := settings.New()
	new(Settings).Define(set)
	wrong := func(name string) (string, bool) { return "no such value!", strings.HasPrefix(name, settings.Prefix) }
	err := set.Load(newFlags(set), wrong)
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, name := range set.AllNames() {
		if want := "-" + name + " (" + settings.Env(name) + "): \"no such value!\": must"; !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not contain %s", want)
		}
	}
}
