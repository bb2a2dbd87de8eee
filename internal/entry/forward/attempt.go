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
	// otherWorker says that another worker may accept the request.
	otherWorker bool
	// started is set once a byte of the response was passed on.
	started bool
	// blame counts the attempt as a failure of the worker.
	blame bool
	// unreachable is set if nothing was sent.
	unreachable bool
	// full is set if the worker had no free slot.
	full     bool
	admitted bool
	free     int // free slots after admission
	// refused is set if the agent refused the request in place of an admission.
	refused bool
}

// attempt sends the request to the agent at addr and passes on its answer.
func (c *call) attempt(ctx context.Context, addr string) outcome {
	stream, done, err := c.f.Pool.Open(ctx, addr, wire.KindRequest, c.head(ctx))
	if err != nil {
		return outcome{
			err:    result.Errorf(result.BackendUnavailable, "the agent of the worker cannot be reached: %v", err),
			notRun: true, otherWorker: true, blame: true, unreachable: true,
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
		out.blame = false // the caller's deadline says nothing about the worker
	}
	return out
}

func (c *call) head(ctx context.Context) *wire.RequestHead {
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
		return c.notAdmitted(ctx, errors.Join(err, sendErr), eager)
	}
	if adm.Fault != nil {
		out := refused(adm.Fault.Err())
		out.refused = true
		return out
	}
	out := outcome{admitted: true, free: adm.FreeSlots}
	if adm.Ticket != "" && !c.req.Idempotent {
		c.ticket = adm.Ticket
		if err := c.resp.Ticket(adm.Ticket); err != nil {
			out.err = ErrCallerGone
			return out
		}
	}
	upload := &upload{}
	if !eager {
		c.startUpload(s, upload)
	}
	c.receive(ctx, s, &out)
	if out.err != nil && !out.started {
		c.uploadFault(upload, &out)
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

// uploadFault replaces the error of an attempt that failed because of the
// caller's body.
func (c *call) uploadFault(u *upload, out *outcome) {
	var source *sourceError
	if !errors.As(u.get(), &source) {
		return
	}
	out.blame = false
	if errors.Is(source, errTooLarge) {
		out.notRun = false
		out.err = result.Errorf(result.OutcomeUnknown, "the body exceeds the limit of %d bytes, which was found after a part of it had been sent; send a smaller one", c.req.MaxBodyBytes)
		return
	}
	out.err = ErrCallerGone
}

// receive passes on the response that follows the admission.
func (c *call) receive(ctx context.Context, s *transport.Stream, out *outcome) {
	var head wire.ResponseHead
	if err := s.Receive(&head); err != nil {
		failed := receiveFailed(err)
		failed.admitted, failed.free = out.admitted, out.free
		*out = failed
		return
	}
	if head.Fault != nil {
		failed := refused(head.Fault.Err())
		failed.admitted, failed.free = out.admitted, out.free
		*out = failed
		return
	}
	out.blame = head.Status >= http.StatusInternalServerError && head.Status != http.StatusNotImplemented
	if err := c.resp.Head(&head); err != nil {
		out.err = ErrCallerGone
		return
	}
	out.started = true
	if err := passBody(c.resp, s.Body(), head.BodyBytes); err != nil {
		out.blame = errors.Is(err, ErrAborted) && ctx.Err() == nil
		out.err = err
	}
}

// receiveFailed classifies the failure to read the agent's answer. Only an
// answer of the agent itself proves that the request was not run.
func receiveFailed(err error) outcome {
	var re *result.Error
	if errors.As(err, &re) {
		return refused(re)
	}
	return outcome{err: result.Errorf(result.OutcomeUnknown, "the connection to the worker broke: %w", err), blame: true}
}

// notAdmitted classifies a failure before the admission arrived. An agent runs a
// request with a small body only after the end frame of the body, which was not
// sent if the body waits for the admission; the attempt can then be repeated. A
// streamed body gives no such proof, since the agent passes its head on at once,
// nor does a ticket taken in advance, which may have been used before.
func (c *call) notAdmitted(ctx context.Context, err error, eager bool) outcome {
	var re *result.Error
	if eager || c.body.rest != nil || c.req.Ticket != "" || ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &re) {
		return receiveFailed(err)
	}
	return outcome{
		err:    result.Errorf(result.BackendUnavailable, "the connection to the worker broke before it admitted the request: %w", err),
		notRun: true, otherWorker: true, blame: true,
	}
}

// refused classifies a code that the agent sent.
func refused(err error) outcome {
	code := result.CodeOf(err)
	out := outcome{err: err, notRun: code.NotRun()}
	switch code {
	case result.WorkerFull, result.Overloaded:
		out.full = true
		out.otherWorker = true
	case result.Draining, result.Stopping, result.Fenced, result.StaleIncarnation,
		result.NoWorker, result.UnknownService, result.TicketUnavailable:
		out.otherWorker = true
	case result.BackendUnavailable:
		out.otherWorker = true
		out.blame = true
	default:
		out.blame = !out.notRun && code != result.InProgress
	}
	return out
}

const copyBufferBytes = 32 << 10

var copyPool = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// passBody copies a response body. It flushes after each piece of a body of
// unknown length, since its sender may mean the pieces to be seen at once.
func passBody(resp Responder, body io.Reader, length int64) error {
	buf := copyPool.Get().(*[]byte)
	defer copyPool.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := resp.Write((*buf)[:n]); werr != nil {
				return ErrCallerGone
			}
			if length < 0 {
				resp.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Join(ErrAborted, err)
		}
	}
}
