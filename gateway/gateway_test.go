package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"sigs.k8s.io/yaml"

	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/gateway"
	"github.com/pointport/pointport/memory"
)

// A failure is one case of testdata/failures.yaml.
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
	b := newBench(t, c.Timeout, c.addresses(t, s)...)
	method, key := http.MethodPost, ""
	if c.Work == "repeatable" {
		method = http.MethodGet
	}
	if c.Work == "keyed" {
		key = "tip-1"
	}
	got := b.ask(t, method, "/"+c.Work, key, "")
	if got.status != c.Status || got.ran != c.Ran {
		t.Errorf("the caller got status %d, ran %q, want %d, %q: %s", got.status, got.ran, c.Status, c.Ran, got.body)
	}
	if got.status == http.StatusOK && got.body != wholeBody {
		t.Errorf("the caller got %q, want the whole answer", got.body)
	}
	if n := s.count(); n != c.Reached {
		t.Errorf("%d requests reached an upstream, want %d", n, c.Reached)
	}
}

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

// TestReusedConnectionIsNotReplayed breaks a connection that was used before
// at the very request that may not be repeated. The transport of net/http would
// send a request with an Idempotency-Key again by itself.
func TestReusedConnectionIsNotReplayed(t *testing.T) {
	for _, work := range []string{"single", "keyed"} {
		t.Run(work, func(t *testing.T) {
			s := &script{steps: []string{"answer", "close-after-read"}, release: make(chan struct{})}
			b := newBench(t, "30s", serveScript(t, s))
			if got := b.ask(t, http.MethodGet, "/repeatable", "", ""); got.status != http.StatusOK {
				t.Fatalf("the first request: %+v", got)
			}
			got := b.ask(t, http.MethodPost, "/"+work, "tip-1", "")
			if got.status != http.StatusBadGateway || got.ran != "unknown" {
				t.Errorf("got status %d, ran %q, want 502, unknown", got.status, got.ran)
			}
			if n := s.count(); n != 2 {
				t.Errorf("%d requests reached the upstream, want the first and one more", n)
			}
		})
	}
}

// TestConnectionClosedWhileIdle lets the upstream close a connection after its
// answer. The next request must not suffer from it.
func TestConnectionClosedWhileIdle(t *testing.T) {
	s := &script{steps: []string{"answer-and-close", "answer"}, release: make(chan struct{})}
	b := newBench(t, "30s", serveScript(t, s))
	b.ask(t, http.MethodGet, "/repeatable", "", "")
	until(t, "the closed connection is dropped", func() bool { return b.gateway.MostConnections("") == 0 })
	if got := b.ask(t, http.MethodPost, "/keyed", "tip-1", ""); got.status != http.StatusOK {
		t.Errorf("got %+v, want a whole answer", got)
	}
}

// TestKeyRunsOnce sends one key again after each way in which its first request
// can end.
func TestKeyRunsOnce(t *testing.T) {
	for _, c := range []struct {
		first  string
		status int
		ran    string
		runs   int
	}{
		{"answer", http.StatusConflict, "yes", 1},
		{"fail", http.StatusConflict, "yes", 1},
		{"close-after-read", http.StatusConflict, "unknown", 1},
		{"cut-length", http.StatusConflict, "yes", 1},
	} {
		t.Run(c.first, func(t *testing.T) {
			s := &script{steps: []string{c.first}, release: make(chan struct{})}
			b := newBench(t, "30s", serveScript(t, s))
			b.ask(t, http.MethodPost, "/keyed", "tip-1", "")
			var got reply
			until(t, "the outcome is known", func() bool {
				got = b.ask(t, http.MethodPost, "/keyed", "tip-1", "")
				return !strings.Contains(got.body, "in progress")
			})
			if got.status != c.status || got.ran != c.ran || s.count() != c.runs {
				t.Errorf("the second request got status %d, ran %q after %d runs, want %d, %q, %d",
					got.status, got.ran, s.count(), c.status, c.ran, c.runs)
			}
		})
	}
}

// TestKeyIsFreeAfterNotRun lets a key be used again whose request did not run.
func TestKeyIsFreeAfterNotRun(t *testing.T) {
	s := &script{steps: []string{"not-run"}, release: make(chan struct{})}
	b := newBench(t, "30s", serveScript(t, s))
	// With one upstream the retries go to it as well; the script answers them.
	if got := b.ask(t, http.MethodPost, "/keyed", "tip-1", ""); got.status != http.StatusOK {
		t.Fatalf("got %+v", got)
	}
	dead := newBench(t, "30s")
	if got := dead.ask(t, http.MethodPost, "/keyed", "tip-2", ""); got.status != http.StatusServiceUnavailable || got.ran != "no" {
		t.Fatalf("without upstreams: %+v", got)
	}
	if n := dead.store.Counts().Writes; n != 0 {
		t.Errorf("a request that was refused at once cost %d writes", n)
	}
}

// TestStoreDown refuses keyed work as not run while its key cannot be claimed,
// and serves all other work.
func TestStoreDown(t *testing.T) {
	s := &script{release: make(chan struct{})}
	b := newBench(t, "30s", serveScript(t, s))
	b.store.SetInjector(func(string, string) memory.Fault { return memory.FaultDown })
	got := b.ask(t, http.MethodPost, "/keyed", "tip-1", "")
	if got.status != http.StatusServiceUnavailable || got.ran != "no" || got.header.Get("Retry-After") == "" {
		t.Errorf("keyed work: %+v", got)
	}
	if n := s.count(); n != 0 {
		t.Errorf("%d requests reached the upstream without a claim", n)
	}
	if got := b.ask(t, http.MethodPost, "/single", "", ""); got.status != http.StatusOK {
		t.Errorf("single work: %+v", got)
	}
	b.store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
	if got := b.ask(t, http.MethodPost, "/keyed", "tip-1", ""); got.status != http.StatusOK {
		t.Errorf("keyed work with the store back: %+v", got)
	}
}

// TestBadRequests sends what no caller should. Nothing may reach an upstream.
func TestBadRequests(t *testing.T) {
	s := &script{release: make(chan struct{})}
	b := newBench(t, "30s", serveScript(t, s))
	long := strings.Repeat("k", 300)
	for _, c := range []struct {
		name, path string
		header     map[string]string
		body       string
		status     int
		says       string
	}{
		{"no route", "/nowhere", nil, "", 404, "no template routes POST /nowhere"},
		{"path beside a prefix", "/keyedness", nil, "", 404, "no template routes"},
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
			req, err := http.NewRequest(http.MethodPost, b.url+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			for name, value := range c.header {
				req.Header.Set(name, value)
			}
			got := send(t, req)
			if got.status != c.status || got.ran != "no" || !strings.Contains(got.body, c.says) {
				t.Errorf("got status %d, ran %q, want %d, no and %q: %s", got.status, got.ran, c.status, c.says, got.body)
			}
		})
	}
	if n := s.count(); n != 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
}

// TestBadBytes sends requests that no client library would.
func TestBadBytes(t *testing.T) {
	s := &script{release: make(chan struct{})}
	b := newBench(t, "30s", serveScript(t, s))
	for _, c := range []struct{ name, bytes, status string }{
		{"conflicting lengths", "POST /single HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
		{"length that is no number", "POST /single HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", "400"},
		{"header too large", "GET /repeatable HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431"},
		{"two keys", "POST /keyed HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", "400"},
		{"body too large in chunks", "POST /small HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n01234567890123456789\r\n0\r\n\r\n", "413"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
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

// TestLengthAndChunks sends a request with both a length and chunks, which the
// chunks decide (RFC 9112, section 6.3). The upstream must get one framing.
func TestLengthAndChunks(t *testing.T) {
	s := &script{release: make(chan struct{})}
	b := newBench(t, "30s", serveScript(t, s))
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
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

// TestCallerGone lets a caller go while its request runs. The upstream must see
// its connection close.
func TestCallerGone(t *testing.T) {
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
	b := newBench(t, "30s", l.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+"/repeatable", nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-started
		cancel()
	}()
	if got := send(t, req); got.status != 0 {
		t.Errorf("got %+v, want nothing", got)
	}
	<-closed
}

// TestBodiesArriveWhole sends bodies of sizes around what a gateway holds back.
func TestBodiesArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			s := &script{release: make(chan struct{})}
			b := newBench(t, "30s", serveScript(t, s))
			body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
			var r io.Reader = strings.NewReader(body)
			if chunked {
				r = io.MultiReader(r) // hides the length
			}
			req, err := http.NewRequest(http.MethodPost, b.url+"/single", r)
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

// TestAnswersAreNotMixed runs requests with answers that come late, out of
// order and cut, and checks that each caller gets its own.
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
	b := newBench(t, "30s", l.Addr().String())
	results := make(chan error)
	const callers, each = 8, 50
	for c := range callers {
		go func() {
			for i := range each {
				want := fmt.Sprintf("caller %d request %d", c, i)
				if got := b.ask(t, http.MethodPost, "/repeatable", "", want); got.status == http.StatusOK && got.body != want {
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

// TestTwoEntryInstances sends each key through two gateways at once.
func TestTwoEntryInstances(t *testing.T) {
	s := &script{release: make(chan struct{})}
	address := serveScript(t, s)
	store := memory.New(clock.System{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var benches []*bench
	for _, name := range []string{"entry-1", "entry-2"} {
		book := claim.Start(ctx, store, clock.System{}, name, claim.WithWriteRate(1000, 0))
		benches = append(benches, serveBench(t, gateway.New(clock.System{}, book), store, "30s", address))
	}
	const keys = 30
	answers := make(chan reply)
	for k := range keys {
		for _, b := range benches {
			go func() { answers <- b.ask(t, http.MethodPost, "/keyed", fmt.Sprint("tip-", k), fmt.Sprint(k)) }()
		}
	}
	answered := 0
	for range keys * len(benches) {
		got := <-answers
		switch {
		case got.status == http.StatusOK:
			answered++
		case got.status != http.StatusConflict || got.ran == "no":
			t.Errorf("got %+v, want an answer or a conflict that does not say no", got)
		}
	}
	if answered != keys || s.count() != keys {
		t.Errorf("%d keys were answered and %d ran, want %d", answered, s.count(), keys)
	}
}

// TestLeavingSign stops new work to an upstream by its own sign.
func TestLeavingSign(t *testing.T) {
	leaving := &script{steps: []string{"leaving"}, release: make(chan struct{})}
	b := newBench(t, "30s", serveScript(t, leaving))
	if got := b.ask(t, http.MethodGet, "/repeatable", "", ""); got.status != http.StatusOK {
		t.Fatalf("got %+v", got)
	}
	got := b.ask(t, http.MethodGet, "/repeatable", "", "")
	if got.status != http.StatusServiceUnavailable || got.ran != "no" || leaving.count() != 1 {
		t.Errorf("got %+v after %d requests, want a refusal after 1", got, leaving.count())
	}
}
