package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/pointport/pointport/event"
)

// TestCatalogue checks that docs/EVENTS.md has a row for each event in the code and no
// other rows, and that no number is used twice.
func TestCatalogue(t *testing.T) {
	data, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]bool)
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| number") && !strings.HasPrefix(line, "| ---") {
			rows[line] = true
		}
	}
	seen := make(map[int]bool)
	for _, e := range event.All() {
		row := fmt.Sprintf("| %d | %s | %s | %s |", e.Number(), e.Name(), e.Level(), e.Meaning())
		if !rows[row] {
			t.Errorf("docs/EVENTS.md has no row\n%s", row)
		}
		delete(rows, row)
		if seen[e.Number()] {
			t.Errorf("number %d is used twice", e.Number())
		}
		seen[e.Number()] = true
	}
	for row := range rows {
		t.Errorf("docs/EVENTS.md has a row without an event in the code\n%s", row)
	}
}
