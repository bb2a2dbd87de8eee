package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// outcome is the result of one attempt at one worker.
type outcome struct {
	err error // nil if the complete response was passed on
	// notRun is set if it is certain that the request did not run at this worker.
	notRun bool
	// retryElsewhere is set if another worker may accept the request.
	retryElsewhere bool
	// started is set once the head of the response was passed on to the caller.
	started bool
	// workerFailed is set if the attempt counts as a failure of the worker.
	workerFailed bool
	// unreachable is set if no stream to the agent could be opened, so that nothing
	// was sent.
	unreachable bool
	// workerFull is set if the worker had no free slot.
	workerFull bool
	// admitted is set if the agent admitted the request.
	admitted  bool
	freeSlots int // free slots of the worker after the admission
	// refused is set if the agent answered with a refusal in place of an admission.
	refused bool
}

// attempt sends the request to the agent at addr and passes the response on to the
// caller.
func (c *call) attempt(ctx context.Context, addr string) outcome {
	stream, done, err := c.f.Pool.Open(ctx, addr, wire.KindRequest, c.requestHead(ctx))
	if err != nil {
		return outcome{
			err:    result.Errorf(result.BackendUnavailable, "the agent of the worker cannot be reached: %v", err),
			notRun: true, retryElsewhere: true, workerFailed: true, unreachable: true,
		}
	}
	defer done()
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	out := c.exchange(ctx, stream)
	if out.err == nil {
		return out
	}
	if out.refused {
		stream.EndRefused()
	} else {
		stream.Abort()
	}
	if errors.Is(out.err, os.ErrDeadlineExceeded) {
		<-ctx.Done() // the stream has the same deadline and may reach it first
	}
	if ctx.Err() != nil {
		out.workerFailed = false // the end of ctx says nothing about the worker
	}
	return out
}

func (c *call) requestHead(ctx context.Context) *wire.RequestHead {
	var timeout time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	return &wire.RequestHead{
		ID:         c.req.ID,
		Team:       c.req.Team.ID,
		Service:    c.req.Service,
		Method:     c.req.Method,
		Target:     c.req.Target,
		Header:     c.req.Header,
		Idempotent: c.req.Idempotent,
		TimeoutMS:  max(1, timeout.Milliseconds()),
		BodyBytes:  c.body.length,
		Ticket:     c.req.Ticket,
	}
}

// exchange runs the protocol of a request stream. The body of an idempotent request
// is sent at once (eagerly) if it is buffered. Otherwise the body is sent after the
// admission: the caller gets the ticket before the request can run, and a refusal
// leaves a streamed body unread, so that it can be sent to another worker.
func (c *call) exchange(ctx context.Context, s *transport.Stream) outcome {
	eager := c.req.Idempotent && c.body.rest == nil
	var sendErr error
	if eager {
		sendErr = c.sendBody(s)
	} else {
		sendErr = s.Flush()
	}
	var adm wire.Admission
	if err := s.Receive(&adm); err != nil {
		return c.classifyNotAdmitted(ctx, errors.Join(err, sendErr), eager)
	}
	if adm.Fault != nil {
		out := classifyRefusal(adm.Fault.Err())
		out.refused = true
		return out
	}
	out := outcome{admitted: true, freeSlots: adm.FreeSlots}
	if adm.Ticket != "" && !c.req.Idempotent {
		c.ticket = adm.Ticket
		if err := c.resp.SendTicket(adm.Ticket); err != nil {
			out.err = ErrCallerDisconnected
			return out
		}
	}
	upload := &upload{}
	if !eager {
		c.startUpload(s, upload)
	}
	c.relayResponse(ctx, s, &out)
	if out.err != nil && !out.started {
		c.applyUploadError(upload, &out)
	}
	return out
}

// upload holds the error of sending a body after the admission.
type upload struct {
	mu  sync.Mutex
	err error
}

func (u *upload) set(err error) {
	u.mu.Lock()
	u.err = err
	u.mu.Unlock()
}

func (u *upload) get() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// startUpload sends the body after the admission. It sends a buffered body before
// it returns. A streamed body is sent while the response is read, since a backend
// server may answer before it has read the whole body.
func (c *call) startUpload(s *transport.Stream, u *upload) {
	if c.body.rest == nil {
		u.set(c.sendBody(s))
		return
	}
	c.body.consumed = true
	go func() {
		err := c.sendBody(s)
		u.set(err)
		var source *sourceError
		if errors.As(err, &source) {
			s.Abort()
		}
	}()
}

// sendBody sends the whole body and closes the sending side of the stream.
func (c *call) sendBody(s *transport.Stream) error {
	w := s.BodyWriter(false)
	if err := c.body.writeTo(w, c.req.MaxBodyBytes); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	return s.CloseWrite()
}

// applyUploadError replaces the error of a failed attempt if reading the caller's
// body was the cause.
func (c *call) applyUploadError(u *upload, out *outcome) {
	var source *sourceError
	if !errors.As(u.get(), &source) {
		return
	}
	out.workerFailed = false
	if errors.Is(source, errBodyTooLarge) {
		out.notRun = false
		out.err = result.Errorf(result.OutcomeUnknown, "the body exceeds the limit of %d bytes, which was detected after a part of it had been sent; send a smaller one", c.req.MaxBodyBytes)
		return
	}
	out.err = ErrCallerDisconnected
}

// relayResponse receives the response that follows the admission and passes it on
// to the caller.
func (c *call) relayResponse(ctx context.Context, s *transport.Stream, out *outcome) {
	var head wire.ResponseHead
	if err := s.Receive(&head); err != nil {
		failed := classifyReceiveError(err)
		failed.admitted, failed.freeSlots = out.admitted, out.freeSlots
		*out = failed
		return
	}
	if head.Fault != nil {
		failed := classifyRefusal(head.Fault.Err())
		failed.admitted, failed.freeSlots = out.admitted, out.freeSlots
		*out = failed
		return
	}
	out.workerFailed = head.Status >= http.StatusInternalServerError && head.Status != http.StatusNotImplemented
	if err := c.resp.SendHead(&head); err != nil {
		out.err = ErrCallerDisconnected
		return
	}
	out.started = true
	if err := relayBody(c.resp, s.Body(), head.BodyBytes); err != nil {
		out.workerFailed = errors.Is(err, ErrResponseAborted) && ctx.Err() == nil
		out.err = err
	}
}

// classifyReceiveError returns the outcome for an error in reading the agent's
// answer. Only an error code sent by the agent proves that the request did not run.
func classifyReceiveError(err error) outcome {
	var re *result.Error
	if errors.As(err, &re) {
		return classifyRefusal(re)
	}
	return outcome{err: result.Errorf(result.OutcomeUnknown, "the connection to the worker was lost: %w", err), workerFailed: true}
}

// classifyNotAdmitted returns the outcome for a failure before the admission
// arrived. An agent runs a request with a small body only after the end frame of
// the body. Unless the body was sent eagerly, that frame was not sent and the
// attempt can be repeated. There is no such proof for a streamed body, since the
// agent passes the head of the request on at once, nor for a ticket issued in
// advance, which may have been used before.
func (c *call) classifyNotAdmitted(ctx context.Context, err error, eager bool) outcome {
	var re *result.Error
	if eager || c.body.rest != nil || c.req.Ticket != "" || ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &re) {
		return classifyReceiveError(err)
	}
	return outcome{
		err:    result.Errorf(result.BackendUnavailable, "the connection to the worker was lost before it admitted the request: %w", err),
		notRun: true, retryElsewhere: true, workerFailed: true,
	}
}

// classifyRefusal returns the outcome for an error code that the agent sent.
func classifyRefusal(err error) outcome {
	code := result.CodeOf(err)
	out := outcome{err: err, notRun: code.NotRun()}
	switch code {
	case result.WorkerFull, result.Overloaded:
		out.workerFull = true
		out.retryElsewhere = true
	case result.Draining, result.Stopping, result.Fenced, result.StaleIncarnation,
		result.NoWorker, result.UnknownService, result.TicketUnavailable:
		out.retryElsewhere = true
	case result.BackendUnavailable:
		out.retryElsewhere = true
		out.workerFailed = true
	default:
		out.workerFailed = !out.notRun && code != result.InProgress
	}
	return out
}

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// relayBody copies a response body to the caller. If the length is unknown (-1), it
// flushes after each read, since the backend server may expect the caller to see
// each piece at once.
func relayBody(resp Responder, body io.Reader, length int64) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := resp.Write((*buf)[:n]); werr != nil {
				return ErrCallerDisconnected
			}
			if length < 0 {
				resp.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Join(ErrResponseAborted, err)
		}
	}
}
