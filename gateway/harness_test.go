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

// This file arranges a gateway before scripted upstreams.

// wholeBody is the body of every whole answer.
const wholeBody = "the whole answer"

// longAnswer is longer than what a gateway holds back.
const longAnswer = 1 << 20

// A script says what the upstreams do with the requests that reach them, in
// turn. Once it is used up, they answer.
type script struct {
	mu      sync.Mutex
	steps   []string
	reached int
	bodies  []string
	ran     map[string]int // by body, the requests that were not refused
	release chan struct{}  // closed when hanging upstreams may go on
}

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

// plan replaces what the upstreams will do.
func (s *script) plan(steps []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = steps
}

// started returns how many requests with a body were not refused.
func (s *script) started(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[body]
}

func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached
}

// serveScript serves connections by hand, so that they can break anywhere.
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
		if !s.act(c, s.next(string(body))) {
			return
		}
	}
}

// act takes one step. It reports whether the connection stays open.
func (s *script) act(c net.Conn, step string) bool {
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
		panic("no such step: " + step)
	}
	return false
}

// routes has a route for each kind of work. TIMEOUT is replaced.
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

func parseTemplate(t *testing.T, text string) *config.Template {
	t.Helper()
	objects, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return objects[0].Template()
}

// A bench is a gateway under test, served to callers.
type bench struct {
	gateway *gateway.Gateway
	store   *memory.Store
	url     string
}

// newBench returns a gateway over upstreams at addresses.
func newBench(t *testing.T, timeout string, addresses ...string) *bench {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store := memory.New(clock.System{})
	book := claim.Start(ctx, store, clock.System{}, "entry-1", claim.WithWriteRate(1000, 0))
	return serveBench(t, gateway.New(clock.System{}, book), store, timeout, addresses...)
}

func serveBench(t *testing.T, g *gateway.Gateway, store *memory.Store, timeout string, addresses ...string) *bench {
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
	return &bench{g, store, srv.URL}
}

// A reply is what a caller gets; status 0 means that no whole answer came.
type reply struct {
	status int
	ran    string
	body   string
	header http.Header
}

func (b *bench) ask(t *testing.T, method, path, key, body string) reply {
	t.Helper()
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return send(t, req)
}

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

// until waits until ok returns true.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const patience = 30 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("waited %v in vain until %s", patience, what)
}
