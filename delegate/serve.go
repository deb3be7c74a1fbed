package delegate

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines how a delegate executes the orders of an owner.

const (
	// maxOrdersInFlight is how many orders of one stream may be in flight: a poll of each of
	// 500 instances, and as many starts. Further orders wait in the connection.
	maxOrdersInFlight = 1024
	// streamBuffer is the size of the read and write buffers of a stream, in bytes.
	streamBuffer = 16 << 10
)

// Handler serves the streams of owners and sends their orders to instances through executor.
func Handler(executor pointport.Executor, logger *slog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if err := errors.Join(control.EnableFullDuplex(), control.Flush()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		s := &serving{executor: executor, results: make(chan resultLine, maxOrdersInFlight)}
		err := s.serve(r.Context(), r.Body, w, control.Flush)
		if err != nil && !errors.Is(err, io.EOF) && r.Context().Err() == nil {
			event.DelegateLost.Log(logger, slog.String("owner", r.RemoteAddr), slog.Any("error", err))
		}
	})
}

// serving is a delegate's side of one stream.
type serving struct {
	executor pointport.Executor
	payloads [payloadSlots]string
	results  chan resultLine
}

// serve executes orders until the stream ends.
func (s *serving) serve(ctx context.Context, in io.Reader, out io.Writer, flush func() error) error {
	ctx, cancel := context.WithCancel(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer cancel() // without their results, orders are of no use
		s.writeResults(ctx, out, flush)
	}()
	defer func() {
		cancel()
		<-written // the response must not be written after the handler returns
	}()
	slots := make(chan struct{}, maxOrdersInFlight)
	lines := json.NewDecoder(bufio.NewReaderSize(in, streamBuffer))
	for {
		var line orderLine
		if err := lines.Decode(&line); err != nil {
			return err
		}
		payload, err := s.payload(line.Start)
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		go func() {
			result := execute(ctx, s.executor, line, payload)
			<-slots
			select {
			case s.results <- result:
			case <-ctx.Done():
			}
		}()
	}
}

// errIncomplete is the error of an order without the parameters that its kind requires.
var errIncomplete = errors.New("the order is not whole")

// errSlotOutOfRange is the error of a start whose payload slot does not exist.
var errSlotOutOfRange = errors.New("the payload slot of a start is out of range")

// payload returns the payload of a start, and stores it in its slot if it is new.
func (s *serving) payload(start *startLine) (string, error) {
	if start == nil {
		return "", nil
	}
	if start.Slot < 0 || start.Slot >= payloadSlots {
		return "", errSlotOutOfRange
	}
	if start.Payload != nil {
		s.payloads[start.Slot] = *start.Payload
	}
	return s.payloads[start.Slot], nil
}

// writeResults writes results as they arrive. It flushes once no further result is queued.
func (s *serving) writeResults(ctx context.Context, out io.Writer, flush func() error) {
	buffer := bufio.NewWriterSize(out, streamBuffer)
	lines := json.NewEncoder(buffer)
	for {
		select {
		case result := <-s.results:
			if lines.Encode(result) != nil {
				return // the owner is gone; it treats orders without a result as having an unknown effect
			}
		case <-ctx.Done():
			return
		}
		if len(s.results) == 0 && (buffer.Flush() != nil || flush() != nil) {
			return
		}
	}
}

// execute sends an order to its instance and returns the result.
func execute(ctx context.Context, e pointport.Executor, o orderLine, payload string) resultLine {
	result := resultLine{Number: o.Number}
	var err error
	switch {
	case o.Op == opStart && o.Start != nil:
		result.Clock, err = e.Start(ctx, o.at(), pointport.StartOrder{
			TaskRun: o.run(), Payload: payload, Checkpoint: o.Start.Checkpoint,
			Ticket: o.Start.Ticket, Fence: o.Fence, LeaseUntil: o.Start.Until,
		})
	case o.Op == opStop:
		result.Clock, err = e.Stop(ctx, o.at(), pointport.StopOrder{TaskRun: o.run(), Fence: o.Fence})
	case o.Op == opPace:
		err = e.Pace(ctx, o.at(), pointport.PaceOrder{TaskRun: o.run(), Percent: o.Percent, Fence: o.Fence})
	case o.Op == opHold && o.Hold != nil:
		var report pointport.Report
		report, err = e.Poll(ctx, o.at(), pointport.PollOrder{
			Fence: o.Fence, LeaseUntil: o.Hold.Until, Acknowledged: o.Hold.Acknowledged, Wait: o.Hold.Wait, ExtraTimeout: o.Hold.Patience,
		})
		result.Clock, result.Report = report.Clock, reportLineOf(report)
	default:
		err = o.unavailable(false, errIncomplete)
	}
	result.Failed = failureOf(err)
	return result
}
