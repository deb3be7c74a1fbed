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
	"time"

	"github.com/google/subcommands"

	"github.com/pointport/pointport/operator"
	"github.com/pointport/pointport/platform"
)

// runCommand runs a subcommand and returns its exit code, output and errors.
func runCommand(t *testing.T, c *Command, args ...string) (subcommands.ExitStatus, string, string) {
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

// writeDocuments writes a temporary file with configuration documents and returns its path.
func writeDocuments(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "documents.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// startFailingAPI starts an API in which no object exists and every change fails with the
// same status and code, or every call if the status is 404. It returns the flag that makes
// a subcommand use this API.
func startFailingAPI(t *testing.T, status int, code string) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && status != http.StatusNotFound {
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(operator.Failure{Code: "not-found", Error: "no such object"})
			return
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(operator.Failure{Code: code, Error: "failure injected by the test"})
	}))
	t.Cleanup(srv.Close)
	return "-server=" + srv.URL
}

// TestExitCodes checks that each kind of failure has its own exit code, on which scripts
// depend, and prints an error.
func TestExitCodes(t *testing.T) {
	valid := writeDocuments(t, "kind: Template\nname: shift\n")
	for _, c := range []struct {
		name string
		code subcommands.ExitStatus
		args func() []string
	}{
		{"race", ExitConflict, func() []string { return []string{startFailingAPI(t, http.StatusConflict, "race"), "-f", valid} }},
		{"unsettled", ExitAmbiguous, func() []string {
			return []string{startFailingAPI(t, http.StatusGatewayTimeout, "unsettled"), "-f", valid}
		}},
		{"store down", ExitFailed, func() []string {
			return []string{startFailingAPI(t, http.StatusServiceUnavailable, "store-down"), "-f", valid}
		}},
		{"invalid", ExitUsage, func() []string {
			return []string{startFailingAPI(t, http.StatusUnprocessableEntity, "invalid"), "-f", valid}
		}},
		{"no server", ExitAmbiguous, func() []string { return []string{"-server=http://127.0.0.1:1", "-f", valid} }},
		{"no file", ExitUsage, func() []string { return nil }},
		{"missing file", ExitUsage, func() []string { return []string{"-f", valid + ".missing"} }},
		{"invalid file", ExitUsage, func() []string { return []string{"-f", writeDocuments(t, "kind: Template\nname: shift\nsize: 3\n")} }},
		{"invalid setting", ExitUsage, func() []string { return []string{"-server=somewhere", "-o=xml"} }},
		{"flag after argument", ExitUsage, func() []string { return []string{"x", "-f", valid} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out, errs := runCommand(t, Apply(), c.args()...)
			if code != c.code || errs == "" {
				t.Errorf("exit code %d, want %d; out %q, errors %q", code, c.code, out, errs)
			}
		})
	}
}

// TestInvalidFileIsReported checks that the error for an invalid file names the file, the
// field and the value, and that no call is made.
func TestInvalidFileIsReported(t *testing.T) {
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	defer srv.Close()
	name := writeDocuments(t, "kind: Template\nname: shift\nqueue: 0.5\n---\nkind: Wave\nname: w\ntemplate: shift\nstate: go\n")
	_, _, errs := runCommand(t, Apply(), "-server="+srv.URL, "-f", name)
	for _, want := range []string{name + ": queue: \"0.5\"", name + " (document 2): state: \"go\": must be one of"} {
		if !strings.Contains(errs, want) {
			t.Errorf("the error does not contain %q:\n%s", want, errs)
		}
	}
	if calls != 0 {
		t.Errorf("%d calls were made, want none", calls)
	}
}

// TestAllInvalidSettingsAreReported checks that one run reports every invalid setting, with
// the names of its flag and its environment variable.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	t.Setenv("POINTPORT_O", "xml")
	_, _, errs := runCommand(t, Apply(), "-server=somewhere", "-force=perhaps")
	for _, want := range []string{"-server (POINTPORT_SERVER): \"somewhere\"", "-o (POINTPORT_O): \"xml\"", "-force (POINTPORT_FORCE): \"perhaps\""} {
		if !strings.Contains(errs, want) {
			t.Errorf("the error does not contain %q:\n%s", want, errs)
		}
	}
}

// Guards against owners that read requests for evacuations, and stop starting tasks in an outage of
// the store, on a platform that does not evacuate availability zones.
func TestEvacuationsAreReadOnlyWhereTheSettingsHaveABound(t *testing.T) {
	for within, prefix := range map[time.Duration]string{0: "", 5 * time.Second: platform.EvacuationPrefix} {
		if got := evacuationSource(&platform.Settings{EvacuationTime: within}).Prefix; got != prefix {
			t.Errorf("with a bound of %v requests are read under %q, want %q", within, got, prefix)
		}
	}
}

// TestJoinPage checks that docs/operators/platform.md lists every flag of the subcommand that runs
// an entry instance, with its help text.
func TestJoinPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/platform.md")
	if err != nil {
		t.Fatal(err)
	}
	c := Join()
	for _, s := range c.Settings() {
		if row := "| `-" + s + "` | " + c.Help(s) + " |\n"; !strings.Contains(string(page), row) {
			t.Errorf("docs/operators/platform.md lacks\n%s", row)
		}
	}
}

// TestCommandsPage checks that docs/operators/commands.md lists every flag of every
// subcommand with its help text, and no other flag.
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
		t.Errorf("docs/operators/commands.md has a row for a flag that does not exist: %s", row)
	}
}
