// Package route finds the service for a request.
//
// A Table is built from templates and immutable. The most specific matching route
// wins: a route with a host over one without, then the longer path prefix, then a
// route with methods over one without.
package route

import (
	"net"
	"slices"
	"sort"
	"strings"

	"github.com/pointport/pointport/config"
)

// A Match is the route found for a request, with its template.
type Match struct {
	template *config.Template
	route    *config.Route
}

// Template returns the template of the service.
func (m Match) Template() *config.Template { return m.template }

// Route returns the route, which holds the settings for the request.
func (m Match) Route() *config.Route { return m.route }

// A Table finds routes. It is immutable and safe for concurrent use.
type Table struct {
	byHost map[string][]Match // most specific first; "" for any host
}

// New returns the table of the routes of templates.
func New(templates []*config.Template) *Table {
	t := &Table{byHost: make(map[string][]Match)}
	for _, tpl := range templates {
		for i := range tpl.Routes {
			r := &tpl.Routes[i]
			host := strings.ToLower(r.Host)
			t.byHost[host] = append(t.byHost[host], Match{tpl, r})
		}
	}
	for _, matches := range t.byHost {
		sort.SliceStable(matches, func(a, b int) bool { return moreSpecific(matches[a].route, matches[b].route) })
	}
	return t
}

func moreSpecific(a, b *config.Route) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	return len(a.Methods) > 0 && len(b.Methods) == 0
}

// Find returns the route for a request, and whether there is one. The host may
// include a port, which is ignored.
func (t *Table) Find(host, path, method string) (Match, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	host = strings.ToLower(host)
	if m, ok := find(t.byHost[host], path, method); ok || host == "" {
		return m, ok
	}
	return find(t.byHost[""], path, method)
}

func find(matches []Match, path, method string) (Match, bool) {
	for _, m := range matches {
		if isBelow(path, m.route.PathPrefix) && (len(m.route.Methods) == 0 || slices.Contains(m.route.Methods, method)) {
			return m, true
		}
	}
	return Match{}, false
}

// isBelow reports whether path equals prefix or lies below it, by whole path elements.
func isBelow(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
