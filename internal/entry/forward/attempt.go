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
	err error // nil: the complete response was passed on
	// notRun proves that the request did not run at this worker.
	notRun bool
	// retryElsewhere says that another worker may accept the request.
	retryElsewhere bool
	// started is set once a byte of the response was passed on.
	started bool
	// workerFailed counts the attempt as a failure of the worker.
	workerFailed bool
	// unreachable is set if nothing was sent.
	unreachable bool
	// workerFull is set if the worker had no free slot.
	workerFull bool
	admitted   bool
	freeSlots  int // free slots after admission
	// refused is set if the agent refused the request in place of an admission.
	refused bool
}

// attempt sends the request to the agent at addr and passes on its answer.
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
		stream.Refused()
	} else {
		stream.Abort()
	}
	if errors.Is(out.err, os.ErrDeadlineExceeded) {
		<-ctx.Done() // the stream has the same deadline and may notice it first
	}
	if ctx.Err() != nil {
		out.workerFailed = false // the caller's deadline says nothing about the worker
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

// exchange carries out the steps of a request stream. An idempotent request
// with a buffered body is sent at once. Otherwise the body waits for the
// admission: the caller learns the ticket before the request can run, and a
// refusal leaves a streamed body unread, so that another worker can get it.
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
		if err := c.resp.Ticket(adm.Ticket); err != nil {
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

// upload is the sending of a body that waited for the admission.
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

// startUpload sends a buffered body at once and streams another one while the
// response is read, since a backend server may answer before it has read all.
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

// applyUploadError replaces the error of an attempt that failed because of the
// caller's body.
func (c *call) applyUploadError(u *upload, out *outcome) {
	var source *sourceError
	if !errors.As(u.get(), &source) {
		return
	}
	out.workerFailed = false
	if errors.Is(source, errBodyTooLarge) {
		out.notRun = false
		out.err = result.Errorf(result.OutcomeUnknown, "the body exceeds the limit of %d bytes, which was found after a part of it had been sent; send a smaller one", c.req.MaxBodyBytes)
		return
	}
	out.err = ErrCallerDisconnected
}

// relayResponse passes on the response that follows the admission.
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
	if err := c.resp.Head(&head); err != nil {
		out.err = ErrCallerDisconnected
		return
	}
	out.started = true
	if err := relayBody(c.resp, s.Body(), head.BodyBytes); err != nil {
		out.workerFailed = errors.Is(err, ErrResponseAborted) && ctx.Err() == nil
		out.err = err
	}
}

// classifyReceiveError classifies the failure to read the agent's answer. Only an
// answer of the agent itself proves that the request was not run.
func classifyReceiveError(err error) outcome {
	var re *result.Error
	if errors.As(err, &re) {
		return classifyRefusal(re)
	}
	return outcome{err: result.Errorf(result.OutcomeUnknown, "the connection to the worker broke: %w", err), workerFailed: true}
}

// classifyNotAdmitted classifies a failure before the admission arrived. An agent runs a
// request with a small body only after the end frame of the body, which was not
// sent if the body waits for the admission; the attempt can then be repeated. A
// streamed body gives no such proof, since the agent passes its head on at once,
// nor does a ticket taken in advance, which may have been used before.
func (c *call) classifyNotAdmitted(ctx context.Context, err error, eager bool) outcome {
	var re *result.Error
	if eager || c.body.rest != nil || c.req.Ticket != "" || ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &re) {
		return classifyReceiveError(err)
	}
	return outcome{
		err:    result.Errorf(result.BackendUnavailable, "the connection to the worker broke before it admitted the request: %w", err),
		notRun: true, retryElsewhere: true, workerFailed: true,
	}
}

// classifyRefusal classifies a code that the agent sent.
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

// relayBody copies a response body. It flushes after each piece of a body of
// unknown length, since its sender may mean the pieces to be seen at once.
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
