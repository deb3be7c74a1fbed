package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"github.com/pointport/pointport/operator"
)

// run runs a subcommand and returns its exit code and output.
func run(t *testing.T, c *Command, args ...string) (subcommands.ExitStatus, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	c.out, c.err = &out, &errs
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	f.SetOutput(&errs)
	c.SetFlags(f)
	if err := f.Parse(args); err != nil {
		return ExitUsage, out.String(), errs.String()
	}
	return c.Execute(context.Background(), f), out.String(), errs.String()
}

func file(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "documents.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// serve answers every call of the API with one failure.
func serve(t *testing.T, status int, code string) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && status != http.StatusNotFound {
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(operator.Failure{Code: "not-found", Error: "no such object"})
			return
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(operator.Failure{Code: code, Error: "said by the API"})
	}))
	t.Cleanup(srv.Close)
	return "-server=" + srv.URL
}

func TestExitCodes(t *testing.T) {
	good := file(t, "kind: Template\nname: shift\n")
	for _, c := range []struct {
		name string
		code subcommands.ExitStatus
		args func() []string
	}{
		{"race", ExitConflict, func() []string { return []string{serve(t, http.StatusConflict, "race"), "-f", good} }},
		{"unsettled", ExitUnsettled, func() []string { return []string{serve(t, http.StatusGatewayTimeout, "unsettled"), "-f", good} }},
		{"store down", ExitFailed, func() []string { return []string{serve(t, http.StatusServiceUnavailable, "store-down"), "-f", good} }},
		{"invalid", ExitUsage, func() []string { return []string{serve(t, http.StatusUnprocessableEntity, "invalid"), "-f", good} }},
		{"no server", ExitUnsettled, func() []string { return []string{"-server=http://127.0.0.1:1", "-f", good} }},
		{"no file", ExitUsage, func() []string { return nil }},
		{"missing file", ExitUsage, func() []string { return []string{"-f", good + ".missing"} }},
		{"wrong file", ExitUsage, func() []string { return []string{"-f", file(t, "kind: Template\nname: shift\nsize: 3\n")} }},
		{"wrong setting", ExitUsage, func() []string { return []string{"-server=somewhere", "-o=xml"} }},
		{"flag after argument", ExitUsage, func() []string { return []string{"x", "-f", good} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out, errs := run(t, Apply(), c.args()...)
			if code != c.code || errs == "" {
				t.Errorf("exit code %d, want %d; out %q, errors %q", code, c.code, out, errs)
			}
		})
	}
}

// TestWrongFileIsNamed checks that an error names file, field and value, and
// that nothing is sent.
func TestWrongFileIsNamed(t *testing.T) {
	sent := 0
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sent++ }))
	defer srv.Close()
	name := file(t, "kind: Template\nname: shift\nqueue: 0.5\n---\nkind: Wave\nname: w\ntemplate: shift\nstate: go\n")
	_, _, errs := run(t, Apply(), "-server="+srv.URL, "-f", name)
	for _, want := range []string{name + ": queue: \"0.5\"", name + " (document 2): state: \"go\": must be one of"} {
		if !strings.Contains(errs, want) {
			t.Errorf("the error does not say %q:\n%s", want, errs)
		}
	}
	if sent != 0 {
		t.Errorf("%d calls were made", sent)
	}
}

// TestEverySettingAtOnce reports all that is wrong, by flag and environment.
func TestEverySettingAtOnce(t *testing.T) {
	t.Setenv("POINTPORT_O", "xml")
	_, _, errs := run(t, Apply(), "-server=somewhere", "-force=perhaps")
	for _, want := range []string{"-server (POINTPORT_SERVER): \"somewhere\"", "-o (POINTPORT_O): \"xml\"", "-force (POINTPORT_FORCE): \"perhaps\""} {
		if !strings.Contains(errs, want) {
			t.Errorf("the error does not say %q:\n%s", want, errs)
		}
	}
}

// TestCommandsPage keeps docs/operators/commands.md and the subcommands the
// same: each flag with its help, and no other.
func TestCommandsPage(t *testing.T) {
	data, err := os.ReadFile("../docs/operators/commands.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]bool)
	section := ""
	for _, line := range strings.Split(string(data), "\n") {
		if name, ok := strings.CutPrefix(line, "### pointport "); ok {
			section, _, _ = strings.Cut(name, " ")
		}
		if strings.HasPrefix(line, "| `-") {
			rows[section+" "+line] = true
		}
	}
	for _, g := range OperatorGroups() {
		for _, c := range g.Commands {
			for _, s := range c.Settings() {
				row := c.Name() + " | `-" + s + "` | " + c.Help(s) + " |"
				if !rows[row] {
					t.Errorf("docs/operators/commands.md lacks, under pointport %s,\n%s", c.Name(), strings.TrimPrefix(row, c.Name()+" "))
				}
				delete(rows, row)
			}
		}
	}
	for row := range rows {
		t.Errorf("docs/operators/commands.md has a row that is no flag: %s", row)
	}
}
