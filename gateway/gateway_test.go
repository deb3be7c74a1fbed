package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"sigs.k8s.io/yaml"

	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/gateway"
	"github.com/pointport/pointport/memory"
)

// A failure is a case of testdata/failures.yaml.
type failure struct {
	Name    string   `json:"name"`
	Work    string   `json:"work"`
	Timeout string   `json:"timeout"`
	Dead    bool     `json:"dead"`
	Script  []string `json:"script"`
	Status  int      `json:"status"`
	Ran     string   `json:"ran"`
	Reached int      `json:"reached"`
}

// TestFailures checks the status and the ran of the caller's answer, and the number
// of requests that reach an upstream, for each way in which an upstream can fail.
func TestFailures(t *testing.T) {
	data, err := os.ReadFile("testdata/failures.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []failure
	if err := yaml.UnmarshalStrict(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c *failure) run(t *testing.T) {
	if c.Timeout == "" {
		c.Timeout = "30s"
	}
	s := &script{steps: c.Script, release: make(chan struct{})}
	defer close(s.release)
	g := newTestGateway(t, c.Timeout, c.addresses(t, s)...)
	method, key := http.MethodPost, ""
	if c.Work == "repeatable" {
		method = http.MethodGet
	}
	if c.Work == "keyed" {
		key = "tip-1"
	}
	got := g.ask(t, method, "/"+c.Work, key, "")
	if got.status != c.Status || got.ran != c.Ran {
		t.Errorf("the caller got status %d, ran %q, want %d, %q: %s", got.status, got.ran, c.Status, c.Ran, got.body)
	}
	if got.status == http.StatusOK && got.body != wholeBody {
		t.Errorf("the caller got %q, want the complete answer", got.body)
	}
	if n := s.count(); n != c.Reached {
		t.Errorf("%d requests reached an upstream, want %d", n, c.Reached)
	}
}

// addresses returns the addresses of the case's upstreams.
func (c *failure) addresses(t *testing.T, s *script) []string {
	if c.Dead {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		return []string{l.Addr().String()}
	}
	return []string{serveScript(t, s), serveScript(t, s), serveScript(t, s)}
}

// TestReusedConnectionIsNotReplayed checks that a request that must not be repeated
// is sent once when its connection, which an earlier request has used, breaks. In
// that case http.Transport would by itself resend a request that has an
// Idempotency-Key.
func TestReusedConnectionIsNotReplayed(t *testing.T) {
	for _, work := range []string{"single", "keyed"} {
		t.Run(work, func(t *testing.T) {
			s := &script{steps: []string{"answer", "close-after-read"}, release: make(chan struct{})}
			g := newTestGateway(t, "30s", serveScript(t, s))
			if got := g.ask(t, http.MethodGet, "/repeatable", "", ""); got.status != http.StatusOK {
				t.Fatalf("the first request: %+v", got)
			}
			got := g.ask(t, http.MethodPost, "/"+work, "tip-1", "")
			if got.status != http.StatusBadGateway || got.ran != "unknown" {
				t.Errorf("got status %d, ran %q, want 502, unknown", got.status, got.ran)
			}
			if n := s.count(); n != 2 {
				t.Errorf("%d requests reached the upstream, want the first and one more", n)
			}
		})
	}
}

// TestConnectionClosedWhileIdle checks that a request succeeds after the upstream
// has closed the connection of the request before.
func TestConnectionClosedWhileIdle(t *testing.T) {
	s := &script{steps: []string{"answer-and-close", "answer"}, release: make(chan struct{})}
	g := newTestGateway(t, "30s", serveScript(t, s))
	g.ask(t, http.MethodGet, "/repeatable", "", "")
	waitUntil(t, "the closed connection is dropped", func() bool { return g.gateway.MostConnections("") == 0 })
	if got := g.ask(t, http.MethodPost, "/keyed", "tip-1", ""); got.status != http.StatusOK {
		t.Errorf("got %+v, want a complete answer", got)
	}
}

// TestKeyRunsOnce checks that a second request with the same key is refused, with
// the right ran, for each way in which the first one can end.
func TestKeyRunsOnce(t *testing.T) {
	for _, c := range []struct {
		first  string
		status int
		ran    string
		count  int
	}{
		{"answer", http.StatusConflict, "yes", 1},
		{"fail", http.StatusConflict, "yes", 1},
		{"close-after-read", http.StatusConflict, "unknown", 1},
		{"cut-length", http.StatusConflict, "yes", 1},
	} {
		t.Run(c.first, func(t *testing.T) {
			s := &script{steps: []string{c.first}, release: make(chan struct{})}
			g := newTestGateway(t, "30s", serveScript(t, s))
			g.ask(t, http.MethodPost, "/keyed", "tip-1", "")
			var got reply
			waitUntil(t, "the outcome is known", func() bool {
				got = g.ask(t, http.MethodPost, "/keyed", "tip-1", "")
				return !strings.Contains(got.body, "in progress")
			})
			if got.status != c.status || got.ran != c.ran || s.count() != c.count {
				t.Errorf("the second request got status %d, ran %q after %d requests to the upstream, want %d, %q, %d",
					got.status, got.ran, s.count(), c.status, c.ran, c.count)
			}
		})
	}
}

// TestKeyIsFreeAfterNotRun checks that a request with a key is retried if the
// upstream did not run it, and that a request that no upstream can take is refused
// without a write of a claim.
func TestKeyIsFreeAfterNotRun(t *testing.T) {
	s := &script{steps: []string{"not-run"}, release: make(chan struct{})}
	g := newTestGateway(t, "30s", serveScript(t, s))
	// The only upstream also gets the retries, which the script answers.
	if got := g.ask(t, http.MethodPost, "/keyed", "tip-1", ""); got.status != http.StatusOK {
		t.Fatalf("got %+v", got)
	}
	dead := newTestGateway(t, "30s")
	if got := dead.ask(t, http.MethodPost, "/keyed", "tip-2", ""); got.status != http.StatusServiceUnavailable || got.ran != "no" {
		t.Fatalf("without upstreams: %+v", got)
	}
	if n := dead.store.Counts().Writes; n != 0 {
		t.Errorf("a request that was refused at once caused %d writes", n)
	}
}

// TestStoreDown checks that requests with a key are refused with ran=no while the
// store is down, because their keys cannot be claimed, and that all others are
// served.
func TestStoreDown(t *testing.T) {
	s := &script{release: make(chan struct{})}
	g := newTestGateway(t, "30s", serveScript(t, s))
	g.store.SetInjector(func(string, string) memory.Fault { return memory.FaultDown })
	got := g.ask(t, http.MethodPost, "/keyed", "tip-1", "")
	if got.status != http.StatusServiceUnavailable || got.ran != "no" || got.header.Get("Retry-After") == "" {
		t.Errorf("keyed work: %+v", got)
	}
	if n := s.count(); n != 0 {
		t.Errorf("%d requests reached the upstream without a claim", n)
	}
	if got := g.ask(t, http.MethodPost, "/single", "", ""); got.status != http.StatusOK {
		t.Errorf("single work: %+v", got)
	}
	g.store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
	if got := g.ask(t, http.MethodPost, "/keyed", "tip-1", ""); got.status != http.StatusOK {
		t.Errorf("keyed work with the store back: %+v", got)
	}
}

// TestBadRequests checks that invalid requests are refused with a detail that names
// the fault, and that they do not reach an upstream.
func TestBadRequests(t *testing.T) {
	s := &script{release: make(chan struct{})}
	g := newTestGateway(t, "30s", serveScript(t, s))
	long := strings.Repeat("k", 300)
	for _, c := range []struct {
		name, path string
		header     map[string]string
		body       string
		status     int
		detail     string
	}{
		{"no route", "/nowhere", nil, "", 404, "no template routes POST /nowhere"},
		{"path that only begins like a prefix", "/keyedness", nil, "", 404, "no template routes"},
		{"key missing", "/keyed", nil, "", 400, `Idempotency-Key: \"\": is required`},
		{"key too long", "/keyed", map[string]string{"Idempotency-Key": long}, "", 400, "must have from 1 to 255 bytes"},
		{"key with space", "/keyed", map[string]string{"Idempotency-Key": "a b"}, "", 400, `Idempotency-Key: \"a b\"`},
		{"key empty", "/keyed", map[string]string{"Idempotency-Key": ""}, "", 400, "must have from 1 to 255 bytes"},
		{"timeout wrong", "/single", map[string]string{"Request-Timeout": "soon"}, "", 400, `Request-Timeout: \"soon\"`},
		{"timeout negative", "/single", map[string]string{"Request-Timeout": "-1"}, "", 400, `Request-Timeout: \"-1\"`},
		{"customer too long", "/single", map[string]string{"X-Customer": long}, "", 400, "X-Customer"},
		{"body too large", "/small", nil, "more than ten bytes", 413, "the body may have 10 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, g.url+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			for name, value := range c.header {
				req.Header.Set(name, value)
			}
			got := send(t, req)
			if got.status != c.status || got.ran != "no" || !strings.Contains(got.body, c.detail) {
				t.Errorf("got status %d, ran %q, want %d, no and %q: %s", got.status, got.ran, c.status, c.detail, got.body)
			}
		})
	}
	if n := s.count(); n != 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
}

// TestMalformedRequests checks that malformed HTTP, which no client library sends,
// is refused and does not reach an upstream.
func TestMalformedRequests(t *testing.T) {
	s := &script{release: make(chan struct{})}
	g := newTestGateway(t, "30s", serveScript(t, s))
	for _, c := range []struct{ name, bytes, status string }{
		{"conflicting lengths", "POST /single HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
		{"length that is not a number", "POST /single HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", "400"},
		{"header too large", "GET /repeatable HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431"},
		{"two keys", "POST /keyed HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", "400"},
		{"body too large in chunks", "POST /small HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n01234567890123456789\r\n0\r\n\r\n", "413"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go func() { fmt.Fprint(conn, c.bytes) }()
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil || !strings.Contains(line, " "+c.status+" ") {
				t.Errorf("got %q, %v, want status %s", line, err, c.status)
			}
		})
	}
	if n := s.count(); n != 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
}

// TestLengthAndChunks guards against request smuggling by a request with both a
// Content-Length and chunked encoding. The chunks take precedence (RFC 9112,
// section 6.3), and the upstream must get one framing only.
func TestLengthAndChunks(t *testing.T) {
	s := &script{release: make(chan struct{})}
	g := newTestGateway(t, "30s", serveScript(t, s))
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /single HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if len(s.bodies) != 1 || s.bodies[0] != "abc" {
		t.Errorf("the upstream read %q, want one body of abc", s.bodies)
	}
}

// TestCallerDisconnects checks that the connection to the upstream is closed if the
// caller disconnects while its request runs.
func TestCallerDisconnects(t *testing.T) {
	started, closed := make(chan struct{}), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		close(started)
		_, _ = r.ReadByte() // returns when the connection closes
		close(closed)
	}()
	g := newTestGateway(t, "30s", l.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.url+"/repeatable", nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-started
		cancel()
	}()
	if got := send(t, req); got.status != 0 {
		t.Errorf("got %+v, want no answer", got)
	}
	<-closed
}

// TestBodiesArriveWhole checks that request bodies with sizes around the retry
// buffer's reach the upstream unchanged, with a length and in chunks.
func TestBodiesArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			s := &script{release: make(chan struct{})}
			g := newTestGateway(t, "30s", serveScript(t, s))
			body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
			var r io.Reader = strings.NewReader(body)
			if chunked {
				r = io.MultiReader(r) // hides the length
			}
			req, err := http.NewRequest(http.MethodPost, g.url+"/single", r)
			if err != nil {
				t.Fatal(err)
			}
			if got := send(t, req); got.status != http.StatusOK {
				t.Fatalf("size %d, chunked %v: %+v", size, chunked, got)
			}
			if s.bodies[0] != body {
				t.Errorf("size %d, chunked %v: the upstream read %d bytes", size, chunked, len(s.bodies[0]))
			}
		}
	}
}

// TestAnswersAreNotMixed checks that concurrent callers get the answers to their
// own requests while some answers are cut short and their connections break.
func TestAnswersAreNotMixed(t *testing.T) {
	var n atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if n.Add(1)%5 == 0 {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(body)
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body)
	})}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	g := newTestGateway(t, "30s", l.Addr().String())
	results := make(chan error)
	const callers, requests = 8, 50
	for c := range callers {
		go func() {
			for i := range requests {
				want := fmt.Sprintf("caller %d request %d", c, i)
				if got := g.ask(t, http.MethodPost, "/repeatable", "", want); got.status == http.StatusOK && got.body != want {
					results <- fmt.Errorf("got %q, want %q", got.body, want)
					return
				}
			}
			results <- nil
		}()
	}
	for range callers {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// TestTwoEntryInstances checks that a key that is sent through two gateways at the
// same time runs once.
func TestTwoEntryInstances(t *testing.T) {
	s := &script{release: make(chan struct{})}
	address := serveScript(t, s)
	store := memory.New(clock.System{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var gateways []*testGateway
	for _, name := range []string{"entry-1", "entry-2"} {
		claimer := claim.Start(ctx, store, clock.System{}, name, claim.WithWriteRate(1000, 0))
		gateways = append(gateways, serveGateway(t, gateway.New(clock.System{}, claimer), store, "30s", address))
	}
	const keys = 30
	answers := make(chan reply)
	for k := range keys {
		for _, g := range gateways {
			go func() { answers <- g.ask(t, http.MethodPost, "/keyed", fmt.Sprint("tip-", k), fmt.Sprint(k)) }()
		}
	}
	answered := 0
	for range keys * len(gateways) {
		got := <-answers
		switch {
		case got.status == http.StatusOK:
			answered++
		case got.status != http.StatusConflict || got.ran == "no":
			t.Errorf("got %+v, want an answer, or a conflict with ran other than no", got)
		}
	}
	if answered != keys || s.count() != keys {
		t.Errorf("%d keys were answered and %d ran, want %d", answered, s.count(), keys)
	}
}

// TestLeavingHeader checks that an upstream gets no more requests after an answer
// with the leaving header.
func TestLeavingHeader(t *testing.T) {
	leaving := &script{steps: []string{"leaving"}, release: make(chan struct{})}
	g := newTestGateway(t, "30s", serveScript(t, leaving))
	if got := g.ask(t, http.MethodGet, "/repeatable", "", ""); got.status != http.StatusOK {
		t.Fatalf("got %+v", got)
	}
	got := g.ask(t, http.MethodGet, "/repeatable", "", "")
	if got.status != http.StatusServiceUnavailable || got.ran != "no" || leaving.count() != 1 {
		t.Errorf("got %+v after %d requests, want a refusal after 1", got, leaving.count())
	}
}

// A brokenWriter is a caller's connection on which no body can be written.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against an answer that did not reach its caller and counts as answered, because the gateway
// had buffered all of it.
func TestUndeliveredAnswerIsNotCountedAsAnswered(t *testing.T) {
	for _, step := range []string{"answer", "chunked"} { // buffered, and forwarded as it arrives
		s := &script{release: make(chan struct{}), steps: []string{step}}
		registry := prometheus.NewRegistry()
		g := serveGateway(t, gateway.New(clock.System{}, nil, gateway.WithRegistry(registry)), memory.New(clock.System{}), "30s", serveScript(t, s))
		aborted := func() (aborted bool) {
			defer func() { aborted = recover() == http.ErrAbortHandler }()
			g.gateway.ServeHTTP(brokenWriter{httptest.NewRecorder()}, httptest.NewRequest(http.MethodGet, "http://a/repeatable", nil))
			return false
		}()
		if !aborted {
			t.Errorf("%s: the caller's connection was not broken", step)
		}
		if got := requestsByOutcome(t, registry); got["answered"] != 0 || got["cut-short"] != 1 {
			t.Errorf("%s: requests by outcome are %v, want one cut-short", step, got)
		}
	}
}

// requestsByOutcome returns the number of requests by outcome.
func requestsByOutcome(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]float64)
	for _, f := range families {
		if f.GetName() != "pointport_requests_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "outcome" {
					out[l.GetValue()] += m.GetCounter().GetValue()
				}
			}
		}
	}
	return out
}

// Guards against a Request-Timeout that overflows as a duration and is refused as negative. The route's
// timeout is shorter, so it applies.
func TestLongTimeoutIsAccepted(t *testing.T) {
	g := newTestGateway(t, "30s", serveScript(t, &script{release: make(chan struct{})}))
	for value, want := range map[string]int{"1e30": 200, "9300000000": 200, "+Inf": 200, "NaN": 400, "-1e30": 400} {
		req, err := http.NewRequest(http.MethodGet, g.url+"/repeatable", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Request-Timeout", value)
		if got := send(t, req); got.status != want {
			t.Errorf("Request-Timeout %s: status %d, want %d", value, got.status, want)
		}
	}
}
