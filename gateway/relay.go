package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// This file defines how an upstream's answer reaches the caller.

// copyBuffer is the size of the pieces in which an answer is passed on, in
// bytes.
const copyBuffer = 32 << 10

// buffers is a pool of pieces.
var buffers = newBufferPool(copyBuffer)

// A bufferPool hands out byte slices of one size.
type bufferPool struct{ pool sync.Pool }

func newBufferPool(size int) *bufferPool {
	return &bufferPool{sync.Pool{New: func() any {
		b := make([]byte, size)
		return &b
	}}}
}

func (p *bufferPool) get() *[]byte  { return p.pool.Get().(*[]byte) }
func (p *bufferPool) put(b *[]byte) { p.pool.Put(b) }

// errCaller wraps an error of writing to the caller.
type errCaller struct{ err error }

func (e *errCaller) Error() string { return "caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *errCaller) Unwrap() error { return e.err }

// relayHead sends the answer's status and headers.
func (a *attempt) relayHead(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.answer.Header {
		h[name] = values
	}
	removeHopByHop(h)
	h.Del(HeaderRan) // only a refusal of this gateway says it
	for name := range a.answer.Trailer {
		h.Add("Trailer", name)
	}
	if a.answer.ContentLength >= 0 && h.Get("Content-Length") == "" && a.answer.Request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(a.answer.ContentLength, 10))
	}
	w.WriteHeader(a.answer.StatusCode)
}

// relayBody sends the answer's body. Its error is an *errCaller if the caller
// could not take it, and else the upstream's.
func (a *attempt) relayBody(w http.ResponseWriter) error {
	if a.whole {
		if _, err := w.Write(a.held); err != nil {
			return &errCaller{err}
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

// copyFlushing passes each piece on as it comes, so that an answer that is
// made slowly arrives as it is made.
func copyFlushing(w http.ResponseWriter, r io.Reader) error {
	buf := buffers.get()
	defer buffers.put(buf)
	control := http.NewResponseController(w)
	for {
		n, err := r.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return &errCaller{werr}
			}
			if ferr := control.Flush(); ferr != nil && !errors.Is(ferr, http.ErrNotSupported) {
				return &errCaller{ferr}
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

func (a *attempt) relayTrailer(w http.ResponseWriter) {
	for name, values := range a.answer.Trailer {
		w.Header()[name] = values
	}
}
