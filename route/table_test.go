package route_test

import (
	"testing"

	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/route"
)

const templates = `
kind: Template
name: any
routes:
  - {pathPrefix: /}
---
kind: Template
name: tips
routes:
  - {pathPrefix: /tips}
  - {pathPrefix: /tips/payout, methods: [POST]}
---
kind: Template
name: split
routes:
  - {pathPrefix: /tips/payout}
  - {host: Split.example, pathPrefix: /}
`

// TestMostSpecificWins checks the precedence of hosts, path prefixes and methods, that a
// prefix matches whole path elements only, and that hosts are compared without port and
// case.
func TestMostSpecificWins(t *testing.T) {
	objects, err := config.Parse("test", []byte(templates))
	if err != nil {
		t.Fatal(err)
	}
	var list []*config.Template
	for _, o := range objects {
		list = append(list, o.Template())
	}
	table := route.New(list)
	for _, c := range []struct{ host, path, method, want string }{
		{"a.example", "/", "GET", "any"},
		{"a.example", "/tipsy", "GET", "any"},
		{"a.example", "/tips", "GET", "tips"},
		{"a.example:8080", "/tips/1", "GET", "tips"},
		{"a.example", "/tips/payout", "POST", "tips"},
		{"a.example", "/tips/payout/7", "GET", "split"},
		{"split.EXAMPLE:80", "/tips/payout", "POST", "split"},
	} {
		m, ok := table.Find(c.host, c.path, c.method)
		if !ok || m.Template().Name != c.want {
			t.Errorf("%s %s%s: found %v, want route of %s", c.method, c.host, c.path, ok, c.want)
		}
	}
	if _, ok := route.New(nil).Find("a.example", "/", "GET"); ok {
		t.Error("an empty table found a route")
	}
}
