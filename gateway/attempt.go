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

// This file defines an attempt: one request to one upstream.

// An attemptEnd is the way in which an attempt ended.
type attemptEnd int

// The ways in which an attempt can end.
const (
	endAnswered attemptEnd = iota // the headers of the upstream's answer have arrived
	endNotRun                     // the upstream reported that it did not run the request
	endUnsent                     // the attempt failed before any byte was sent
	endUnknown                    // the attempt failed after that, so the request may have run
)

// An attempt is one request to one upstream, and its result.
type attempt struct {
	exchange    *exchange
	grant       *dispatch.Grant
	upstream    *upstream
	end         attemptEnd
	answer      *http.Response
	buffered    []byte // the body of the answer, if it was short enough to buffer
	complete    bool   // whether buffered is the whole body
	err         error  // why there is no answer, or why its body could not be buffered
	requestBody *singleUseBody
	writes      writeTrace
}

// writeTrace records the connection of a request, to find out whether any byte
// was written to it.
type writeTrace struct {
	mu            sync.Mutex
	conn          *countedConn
	writtenBefore int64 // bytes written to conn before this request
}

// gotConn is the httptrace hook that is called with the request's connection.
func (s *writeTrace) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, _ = info.Conn.(*countedConn)
	if s.conn != nil {
		s.writtenBefore = s.conn.written.Load()
	}
}

// wroteAny reports whether any byte was written since the request got its
// connection.
func (s *writeTrace) wroteAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.conn.written.Load() != s.writtenBefore
}

// send sends the request and waits for the headers of the answer, and for its
// body if that is short enough to buffer.
func (a *attempt) send(ctx context.Context) {
	trace := &httptrace.ClientTrace{GotConn: a.writes.gotConn}
	a.requestBody = a.exchange.newBody()
	req := a.exchange.upstreamRequest(httptrace.WithClientTrace(ctx, trace), a.grant.Instance().Address, a.requestBody)
	a.answer, a.err = a.upstream.transport.RoundTrip(req)
	if a.err != nil {
		a.end = endUnknown
		if !a.writes.wroteAny() {
			a.end = endUnsent
		}
		return
	}
	if a.answer.Header.Get(a.exchange.match.Template().Upstream.NotRunHeader) != "" {
		a.end = endNotRun
		a.discard()
		return
	}
	a.end = endAnswered
	a.bufferBody()
}

// bufferBody reads the whole body if its declared length is within the template's
// retry buffer, so that an answer that is cut short can be retried or refused.
func (a *attempt) bufferBody() {
	n := a.answer.ContentLength
	if n < 0 || n > int64(a.exchange.match.Template().Retry.Buffer) {
		return
	}
	a.buffered, a.err = io.ReadAll(a.answer.Body)
	_ = a.answer.Body.Close()
	a.complete = a.err == nil
}

// discardLimit bounds how many bytes of an unwanted answer's body are read. A body
// has to be read to its end for its connection to be reused.
const discardLimit = 4 << 10

// discard reads and closes the body of an unwanted answer.
func (a *attempt) discard() {
	_, _ = io.CopyN(io.Discard, a.answer.Body, discardLimit)
	_ = a.answer.Body.Close()
}

// unframed reports whether the end of the answer is marked only by the close of
// the connection, so that a truncated answer would look complete.
func (a *attempt) unframed() bool {
	r := a.answer
	chunked := len(r.TransferEncoding) > 0
	bodiless := r.Request.Method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
	return r.ContentLength < 0 && !chunked && !bodiless && r.ProtoMajor == 1
}

// failedStatus reports whether an answer with this status counts as a failure of
// the upstream.
func failedStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// upstreamRequest returns the request to send to the upstream at address.
func (x *exchange) upstreamRequest(ctx context.Context, address string, body io.ReadCloser) *http.Request {
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
		ContentLength: x.bodyLength(),
	}
	removeHopByHop(out.Header)
	if len(in.Trailer) > 0 {
		out.Trailer = in.Trailer
	}
	if out.Header.Get("User-Agent") == "" {
		out.Header.Set("User-Agent", "") // otherwise the transport adds its own
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

// hopByHop lists the headers that apply to a single connection and must not be
// forwarded (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop removes the headers in hopByHop and those that the Connection
// header names.
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

// callerGone reports whether the caller has cancelled the request or closed its
// connection.
func (x *exchange) callerGone() bool {
	err := x.in.Context().Err()
	return errors.Is(err, context.Canceled)
}
