package config_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/pointport/pointport/config"
)

// TestParse parses every file in testdata/parse and compares the objects or the
// error with the golden file beside it.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/parse/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no documents: %v", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/parse"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			objects, err := config.Parse(filepath.Base(file), data)
			if err != nil {
				g.Assert(t, name, []byte(err.Error()+"\n"))
				return
			}
			out, err := json.MarshalIndent(objects, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			g.Assert(t, name, append(out, '\n'))
		})
	}
}
