// Package route finds the service for a request.
//
// The model: a Table is built from templates and never changed. The most
// specific route wins: a named host before any host, then the longer path
// prefix, then named methods before any method.
package route

import (
	"net"
	"slices"
	"sort"
	"strings"

	"github.com/pointport/pointport/config"
)

// This file defines the table and the match.

// A Match is the route that a request takes.
type Match struct {
	template *config.Template
	route    *config.Route
}

// Template returns the template of the service.
func (m Match) Template() *config.Template { return m.template }

// Route returns how the request is to be treated.
func (m Match) Route() *config.Route { return m.route }

// A Table finds routes. It is never changed once it is made.
type Table struct {
	byHost map[string][]Match // most specific first; "" for any host
}

// New returns the table of templates.
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

// Find returns the route of a request. The host may carry a port.
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

// isBelow reports whether path is prefix or lies below it.
func isBelow(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
