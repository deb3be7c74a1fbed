package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/dispatch"
	"github.com/pointport/pointport/gateway"
	"github.com/pointport/pointport/memory"
)

// This file sets up a gateway in front of scripted upstreams.

// wholeBody is the body of every complete answer.
const wholeBody = "the whole answer"

// longAnswer is the length of an answer that is too long for the gateway to
// buffer, in bytes.
const longAnswer = 1 << 20

// A script holds what the upstreams do with the requests that reach them, one step
// for each request. Once the steps are used up, they answer.
type script struct {
	mu      sync.Mutex
	steps   []string
	reached int
	bodies  []string
	ran     map[string]int // by body, the number of requests that the upstreams ran
	release chan struct{}  // closed when hanging upstreams may continue
}

// next records a request and returns the step for it.
func (s *script) next(body string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached++
	s.bodies = append(s.bodies, body)
	step := "answer"
	if len(s.steps) > 0 {
		step = s.steps[0]
		s.steps = s.steps[1:]
	}
	if step != "not-run" {
		if s.ran == nil {
			s.ran = make(map[string]int)
		}
		s.ran[body]++
	}
	return step
}

// setSteps replaces the steps.
func (s *script) setSteps(steps []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = steps
}

// started returns the number of requests with a body that the upstreams ran, that
// is, did not answer with the not-run header.
func (s *script) started(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[body]
}

// count returns the number of requests that reached the upstreams.
func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached
}

// serveScript starts an upstream and returns its address. It writes to the
// connections itself, so that they can break at any point.
func serveScript(t *testing.T, s *script) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

// serve handles the requests of one connection until a step closes it.
func (s *script) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !s.perform(c, s.next(string(body))) {
			return
		}
	}
}

// perform performs one step. It reports whether the connection stays open.
func (s *script) perform(c net.Conn, step string) bool {
	write := func(format string, args ...any) { fmt.Fprintf(c, format, args...) }
	switch step {
	case "answer":
		write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeBody), wholeBody)
		return true
	case "chunked":
		write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(wholeBody), wholeBody)
		return true
	case "answer-and-close":
		write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeBody), wholeBody)
	case "leaving":
		write("HTTP/1.1 200 OK\r\nX-Leaving: true\r\nContent-Length: %d\r\n\r\n%s", len(wholeBody), wholeBody)
		return true
	case "fail":
		write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nfail")
		return true
	case "not-run":
		write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
		return true
	case "cut-length":
		write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeBody), wholeBody[:5])
	case "cut-long":
		write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", longAnswer, strings.Repeat("x", longAnswer/2))
	case "endless":
		write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", 1<<16, strings.Repeat("x", 1<<16)); err != nil {
				return false
			}
		}
	case "cut-chunked":
		write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n", wholeBody[:5])
	case "unframed":
		write("HTTP/1.0 200 OK\r\n\r\n%s", wholeBody[:5])
	case "hang":
		<-s.release
	case "hang-in-body":
		write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeBody), wholeBody[:5])
		<-s.release
	case "hang-in-chunks":
		write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n", wholeBody[:5])
		<-s.release
	case "close-after-read":
	default:
		panic("unknown step: " + step)
	}
	return false
}

// routes is a template with a route for each kind of work. TIMEOUT is replaced by
// the timeout of the test.
const routes = `
kind: Template
name: tips
routes:
  - {pathPrefix: /repeatable, repeatable: true, timeout: TIMEOUT}
  - {pathPrefix: /single, timeout: TIMEOUT}
  - {pathPrefix: /keyed, requireKey: true, timeout: TIMEOUT}
  - {pathPrefix: /small, maxBody: 10, timeout: TIMEOUT}
pool: {size: 3}
ejection: {failures: 100}
`

// parseTemplate returns the template that text defines.
func parseTemplate(t *testing.T, text string) *config.Template {
	t.Helper()
	objects, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return objects[0].Template()
}

// A testGateway is a gateway under test, served over HTTP.
type testGateway struct {
	gateway *gateway.Gateway
	store   *memory.Store
	url     string
}

// newTestGateway starts a gateway with its own store and claimer, in front of
// upstreams at addresses.
func newTestGateway(t *testing.T, timeout string, addresses ...string) *testGateway {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store := memory.New(clock.System{})
	claimer := claim.Start(ctx, store, clock.System{}, "entry-1", claim.WithWriteRate(1000, 0))
	return serveGateway(t, gateway.New(clock.System{}, claimer), store, timeout, addresses...)
}

// serveGateway serves g in front of upstreams at addresses.
func serveGateway(t *testing.T, g *gateway.Gateway, store *memory.Store, timeout string, addresses ...string) *testGateway {
	t.Helper()
	template := parseTemplate(t, strings.ReplaceAll(routes, "TIMEOUT", timeout))
	targets := make([]dispatch.Target, len(addresses))
	for i, a := range addresses {
		targets[i] = dispatch.Target{Instance: pointport.Instance{ID: pointport.InstanceID(fmt.Sprint("u", i)), Address: a, Boots: 1}}
	}
	g.Update([]*config.Template{template}, nil, map[string][]dispatch.Target{"tips": targets})
	srv := httptest.NewUnstartedServer(g)
	srv.Config.MaxHeaderBytes = 8 << 10
	srv.Start()
	t.Cleanup(srv.Close)
	return &testGateway{g, store, srv.URL}
}

// A reply is what a caller receives. Its status is 0 if no complete answer came.
type reply struct {
	status int
	ran    string
	body   string
	header http.Header
}

// ask sends a request with a key, or without one if key is empty.
func (g *testGateway) ask(t *testing.T, method, path, key, body string) reply {
	t.Helper()
	req, err := http.NewRequest(method, g.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return send(t, req)
}

// send sends a request on a connection of its own.
func send(t *testing.T, req *http.Request) reply {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return reply{}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return reply{}
	}
	return reply{res.StatusCode, res.Header.Get(gateway.HeaderRan), string(data), res.Header}
}

// waitUntil waits until ok returns true, and fails the test if it takes too long.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const timeout = 30 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out after %v waiting until %s", timeout, what)
}
