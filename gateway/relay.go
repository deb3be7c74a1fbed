package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// This file defines how an upstream's answer is forwarded to the caller.

// copyBufferSize is the size of the buffers through which answers are forwarded,
// in bytes.
const copyBufferSize = 32 << 10

// buffers is the pool of those buffers.
var buffers = newBufferPool(copyBufferSize)

// A bufferPool is a pool of byte slices of one size.
type bufferPool struct{ pool sync.Pool }

func newBufferPool(size int) *bufferPool {
	return &bufferPool{sync.Pool{New: func() any {
		b := make([]byte, size)
		return &b
	}}}
}

func (p *bufferPool) get() *[]byte  { return p.pool.Get().(*[]byte) }
func (p *bufferPool) put(b *[]byte) { p.pool.Put(b) }

// callerError wraps an error in writing to the caller.
type callerError struct{ err error }

func (e *callerError) Error() string { return "caller: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *callerError) Unwrap() error { return e.err }

// relayHead writes the status and headers of the upstream's answer.
func (a *attempt) relayHead(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.answer.Header {
		h[name] = values
	}
	removeHopByHop(h)
	h.Del(HeaderRan) // only refusals by this gateway have it
	for name := range a.answer.Trailer {
		h.Add("Trailer", name)
	}
	if a.answer.ContentLength >= 0 && h.Get("Content-Length") == "" && a.answer.Request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(a.answer.ContentLength, 10))
	}
	w.WriteHeader(a.answer.StatusCode)
}

// relayBody writes the body and trailers of the upstream's answer. Its error is a
// *callerError if writing to the caller failed; otherwise it is the error of
// reading the answer.
func (a *attempt) relayBody(w http.ResponseWriter) error {
	if a.complete {
		if _, err := w.Write(a.buffered); err != nil {
			return &callerError{err}
		}
		a.relayTrailer(w)
		return nil
	}
	defer a.answer.Body.Close()
	if err := copyFlushing(w, a.answer.Body); err != nil {
		return err
	}
	a.relayTrailer(w)
	return nil
}

// copyFlushing copies r to w and flushes after each read, so that an answer that
// is produced slowly reaches the caller without delay.
func copyFlushing(w http.ResponseWriter, r io.Reader) error {
	buf := buffers.get()
	defer buffers.put(buf)
	control := http.NewResponseController(w)
	for {
		n, err := r.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return &callerError{werr}
			}
			if ferr := control.Flush(); ferr != nil && !errors.Is(ferr, http.ErrNotSupported) {
				return &callerError{ferr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayTrailer sets the trailers of the upstream's answer.
func (a *attempt) relayTrailer(w http.ResponseWriter) {
	for name, values := range a.answer.Trailer {
		w.Header()[name] = values
	}
}
