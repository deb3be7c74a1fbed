package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync"

	"github.com/pointport/pointport/dispatch"
)

// This file defines one attempt: a request to one upstream.

// An end says how an attempt ended.
type end int

// The ends of an attempt.
const (
	endAnswered end = iota // the upstream's answer has begun
	endNotRun              // the upstream said that it did not run the request
	endUnsent              // it failed before any byte was sent
	endUnknown             // it failed after that
)

// An attempt is one request to one upstream.
type attempt struct {
	x      *exchange
	grant  *dispatch.Grant
	peer   *peer
	end    end
	answer *http.Response
	held   []byte // the answer's body, if it was short enough to hold back
	whole  bool   // whether held is the whole body
	err    error
	body   *onceBody
	sent   sentTrace
}

// sentTrace tells whether any byte was written for a request.
type sentTrace struct {
	mu     sync.Mutex
	conn   *countedConn
	before int64
}

func (s *sentTrace) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, _ = info.Conn.(*countedConn)
	if s.conn != nil {
		s.before = s.conn.written.Load()
	}
}

// any reports whether any byte was written since the connection was got.
func (s *sentTrace) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.conn.written.Load() != s.before
}

// send sends the request and waits for the answer's headers, and for its body
// if that is short.
func (a *attempt) send(ctx context.Context) {
	trace := &httptrace.ClientTrace{GotConn: a.sent.gotConn}
	a.body = a.x.body()
	req := a.x.outgoing(httptrace.WithClientTrace(ctx, trace), a.grant.Instance().Address, a.body)
	a.answer, a.err = a.peer.transport.RoundTrip(req)
	if a.err != nil {
		a.end = endUnknown
		if !a.sent.any() {
			a.end = endUnsent
		}
		return
	}
	if a.answer.Header.Get(a.x.match.Template().Upstream.NotRunHeader) != "" {
		a.end = endNotRun
		a.discard()
		return
	}
	a.end = endAnswered
	a.hold()
}

// hold reads the whole body if the answer says that it is short.
func (a *attempt) hold() {
	n := a.answer.ContentLength
	if n < 0 || n > int64(a.x.match.Template().Retry.Buffer) {
		return
	}
	a.held, a.err = io.ReadAll(a.answer.Body)
	_ = a.answer.Body.Close()
	a.whole = a.err == nil
}

// discardLimit bounds what is read of an answer that nobody wants, in bytes,
// so that its connection can be used again.
const discardLimit = 4 << 10

func (a *attempt) discard() {
	_, _ = io.CopyN(io.Discard, a.answer.Body, discardLimit)
	_ = a.answer.Body.Close()
}

// unframed reports whether the answer's end cannot be told from a cut.
func (a *attempt) unframed() bool {
	r := a.answer
	chunked := len(r.TransferEncoding) > 0
	empty := r.Request.Method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
	return r.ContentLength < 0 && !chunked && !empty && r.ProtoMajor == 1
}

// failedStatus reports whether an answer's status counts as a failure of it.
func failedStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// outgoing returns the request for the upstream at address.
func (x *exchange) outgoing(ctx context.Context, address string, body io.ReadCloser) *http.Request {
	in := x.in
	out := &http.Request{
		Method: in.Method,
		URL: &url.URL{
			Scheme: "http", Host: address,
			Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery,
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        in.Header.Clone(),
		Host:          in.Host,
		Body:          body,
		ContentLength: x.length(),
	}
	removeHopByHop(out.Header)
	if len(in.Trailer) > 0 {
		out.Trailer = in.Trailer
	}
	if out.Header.Get("User-Agent") == "" {
		out.Header.Set("User-Agent", "") // the transport would add its own
	}
	out.Header.Set(HeaderID, x.id)
	out.Header.Add("Via", "1.1 pointport")
	if ip, _, err := net.SplitHostPort(in.RemoteAddr); err == nil {
		prior := strings.Join(out.Header.Values("X-Forwarded-For"), ", ")
		if prior != "" {
			ip = prior + ", " + ip
		}
		out.Header.Set("X-Forwarded-For", ip)
	}
	return out.WithContext(ctx)
}

// hopByHop lists the headers that are for one connection only (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// gone reports whether err came because the caller has gone.
func (x *exchange) gone() bool {
	err := x.in.Context().Err()
	return errors.Is(err, context.Canceled)
}
