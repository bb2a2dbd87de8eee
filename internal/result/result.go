// Package result defines the numbered result codes that all programs of snipegw
// return and log, and the error type that carries a code.
package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code identifies one outcome. Numbers are stable: a released number is never
// reused for another outcome.
type Code int

// Ran says whether the request, job or patch that ended with a code may have run.
type Ran string

// Values of Ran. RanNo guarantees that it did not run.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Result codes. 1xx is success, 2xx a caller error, 3xx a lack of capacity or of
// a required process or store, 4xx fencing between processes, 5xx an ambiguous
// or failed run, 6xx configuration, 9xx an internal error.
const (
	OK         Code = 100
	Accepted   Code = 101
	InProgress Code = 102

	BadRequest      Code = 200
	BodyTooLarge    Code = 201
	Unauthenticated Code = 202
	Forbidden       Code = 203
	UnknownTeam     Code = 204
	UnknownService  Code = 205
	UnknownField    Code = 206
	ImpossibleShape Code = 207
	UnknownJob      Code = 208
	JobConflict     Code = 209
	BadTicket       Code = 210
	UnknownWorker   Code = 211
	NotFound        Code = 212
	Unsupported     Code = 213
	UnknownQueue    Code = 214
	JobGone         Code = 215

	Overloaded           Code = 300
	WorkerFull           Code = 301
	Draining             Code = 302
	NoWorker             Code = 303
	DeadlineNotRun       Code = 304
	RetryBudgetExhausted Code = 305
	StoreUnavailable     Code = 306
	NoPlanner            Code = 307
	Stopping             Code = 308
	JobIndexFull         Code = 309
	BackendUnavailable   Code = 310
	TicketUnavailable    Code = 311
	EntryUnreachable     Code = 312
	NotInTime            Code = 313
	ExceedsPool          Code = 314
	JobClosed            Code = 315

	Fenced              Code = 400
	StaleIncarnation    Code = 401
	StaleAttempt        Code = 402
	ReservationConflict Code = 403
	ReservationExpired  Code = 404
	NotPlanner          Code = 405

	OutcomeUnknown Code = 500
	BrokenResponse Code = 501
	DeadlineRan    Code = 502
	TaskFailed     Code = 503
	GangLost       Code = 504
	Preempted      Code = 505
	Cancelled      Code = 506

	WrongBaseVersion     Code = 600
	InvalidConfig        Code = 601
	GuaranteesDoNotPack  Code = 602
	PatchOutcomeUnknown  Code = 603
	ConfigNotInForceYet  Code = 604
	InvalidSettings      Code = 605
	ConfigVersionUnknown Code = 606

	Internal Code = 900
)

// Info describes a code for callers and the documentation.
type Info struct {
	Code   Code
	Name   string // stable name used in logs and JSON
	Status int    // HTTP status
	Ran    Ran
	Action string // what the caller should do
}

// table describes all codes in ascending order.
var table = []Info{
	{OK, "ok", http.StatusOK, RanYes, "Nothing."},
	{Accepted, "accepted", http.StatusAccepted, RanNo, "Query the status of the job or patch."},
	{InProgress, "in_progress", http.StatusAccepted, RanYes, "Query the same ticket again."},

	{BadRequest, "bad_request", http.StatusBadRequest, RanNo, "Correct the field that the message names."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RanNo, "Send a smaller body; the message names the limit."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, RanNo, "Send a valid bearer token."},
	{Forbidden, "forbidden", http.StatusForbidden, RanNo, "Use a token of the team or operator that owns the object."},
	{UnknownTeam, "unknown_team", http.StatusNotFound, RanNo, "Use a team of the current configuration."},
	{UnknownService, "unknown_service", http.StatusNotFound, RanNo, "Use a service that a backend server has announced."},
	{UnknownField, "unknown_field", http.StatusBadRequest, RanNo, "Remove or correct the field that the message names."},
	{ImpossibleShape, "impossible_shape", http.StatusUnprocessableEntity, RanNo, "Request a shape that fits into the pool; the message names the limit."},
	{UnknownJob, "unknown_job", http.StatusNotFound, RanNo, "Check the job id."},
	{JobConflict, "job_conflict", http.StatusConflict, RanNo, "Choose another job id; this one is in use by a different job."},
	{BadTicket, "bad_ticket", http.StatusBadRequest, RanNo, "Send the ticket exactly as it was issued."},
	{UnknownWorker, "unknown_worker", http.StatusNotFound, RanNo, "Check the worker id."},
	{NotFound, "not_found", http.StatusNotFound, RanNo, "Check the path."},
	{Unsupported, "unsupported", http.StatusNotImplemented, RanNo, "Leave out the feature that the message names; it is not implemented."},
	{UnknownQueue, "unknown_queue", http.StatusNotFound, RanNo, "Use a host and path of a queue of the current configuration."},
	{JobGone, "job_gone", http.StatusGone, RanNo, "Check the job id; no such job exists, or it ended too long ago."},

	{Overloaded, "overloaded", http.StatusServiceUnavailable, RanNo, "Retry after the time in Retry-After."},
	{WorkerFull, "worker_full", http.StatusServiceUnavailable, RanNo, "Retry; another worker may have a free slot."},
	{Draining, "draining", http.StatusServiceUnavailable, RanNo, "Retry; another worker will take the request."},
	{NoWorker, "no_worker", http.StatusServiceUnavailable, RanNo, "Retry later; no worker of the service is healthy."},
	{DeadlineNotRun, "deadline_not_run", http.StatusGatewayTimeout, RanNo, "Retry with a longer deadline."},
	{RetryBudgetExhausted, "retry_budget_exhausted", http.StatusServiceUnavailable, RanNo, "Retry after the time in Retry-After."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, RanNo, "Retry later; the platform's store does not respond."},
	{NoPlanner, "no_planner", http.StatusServiceUnavailable, RanNo, "Retry later; the region currently has no planner."},
	{Stopping, "stopping", http.StatusServiceUnavailable, RanNo, "Retry through another entry."},
	{JobIndexFull, "job_index_full", http.StatusInsufficientStorage, RanNo, "Retry after records of ended jobs have been removed."},
	{BackendUnavailable, "backend_unavailable", http.StatusServiceUnavailable, RanNo, "Retry; another worker will take the request."},
	{TicketUnavailable, "ticket_unavailable", http.StatusServiceUnavailable, RanNo, "Request a new ticket."},
	{EntryUnreachable, "entry_unreachable", http.StatusServiceUnavailable, RanNo, "Check the address, or use another entry."},
	{NotInTime, "not_in_time", http.StatusServiceUnavailable, RanNo, "Retry after the time in Retry-After; the waiting work leaves no room for the job within three times its objective."},
	{ExceedsPool, "exceeds_pool", http.StatusServiceUnavailable, RanNo, "Divide the job, or retry once the service has larger workers; a step needs more than the present ones have."},
	{JobClosed, "job_closed", http.StatusServiceUnavailable, RanNo, "Retry; the job id was closed by a cancellation, perhaps while the request was under way."},

	{Fenced, "fenced", http.StatusConflict, RanNo, "None; a newer planner has taken over."},
	{StaleIncarnation, "stale_incarnation", http.StatusConflict, RanNo, "None; the agent has since restarted."},
	{StaleAttempt, "stale_attempt", http.StatusConflict, RanNo, "None; the job has a newer attempt."},
	{ReservationConflict, "reservation_conflict", http.StatusConflict, RanNo, "None; the planner tries other workers."},
	{ReservationExpired, "reservation_expired", http.StatusConflict, RanNo, "None; the planner tries again."},
	{NotPlanner, "not_planner", http.StatusServiceUnavailable, RanNo, "Retry; another entry is the planner."},

	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RanUnknown, "Query the ticket; check the effect before sending the request again."},
	{BrokenResponse, "broken_response", http.StatusBadGateway, RanUnknown, "Treat the response as lost; query the ticket if there is one."},
	{DeadlineRan, "deadline_ran", http.StatusGatewayTimeout, RanUnknown, "Query the ticket or the job id; it may still finish."},
	{TaskFailed, "task_failed", http.StatusOK, RanYes, "Read the reason in the job's status."},
	{GangLost, "gang_lost", http.StatusOK, RanYes, "None; the job is queued again."},
	{Preempted, "preempted", http.StatusOK, RanYes, "None; the job is queued again."},
	{Cancelled, "cancelled", http.StatusOK, RanUnknown, "None."},

	{WrongBaseVersion, "wrong_base_version", http.StatusConflict, RanNo, "Read the current version and rebase the patch on it."},
	{InvalidConfig, "invalid_config", http.StatusUnprocessableEntity, RanNo, "Correct the paths that the message names."},
	{GuaranteesDoNotPack, "guarantees_do_not_pack", http.StatusUnprocessableEntity, RanNo, "Reduce the guarantees that the message names."},
	{PatchOutcomeUnknown, "patch_outcome_unknown", http.StatusGatewayTimeout, RanUnknown, "Look for the id of the patch in the configuration history."},
	{ConfigNotInForceYet, "config_not_in_force_yet", http.StatusAccepted, RanYes, "Wait; the message names the processes that do not use the version yet."},
	{InvalidSettings, "invalid_settings", http.StatusUnprocessableEntity, RanNo, "Correct the settings that the message names."},
	{ConfigVersionUnknown, "config_version_unknown", http.StatusServiceUnavailable, RanNo, "Retry; this process has no configuration yet."},

	{Internal, "internal", http.StatusInternalServerError, RanUnknown, "Report the log line that carries the same id."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}()

// Table returns all codes in ascending order.
func Table() []Info { return append([]Info(nil), table...) }

// Info returns the description of c, or that of Internal for an unknown code.
func (c Code) Info() Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// String returns the stable name of c.
func (c Code) String() string { return c.Info().Name }

// NotRun reports whether c guarantees that the request, job or patch was not run.
func (c Code) NotRun() bool { return c.Info().Ran == RanNo }

// Error is an error with a result code. Message is one sentence that says what
// happened and, for a caller error, what to change.
type Error struct {
	Code    Code
	Message string
	Err     error
	// RetryAfter is when the caller should try again; 0 leaves it to the protocol.
	RetryAfter time.Duration
}

// Errorf returns an *Error with a message formatted as by fmt.Errorf; a wrapped
// error (%w) stays reachable through errors.Is and errors.As.
func Errorf(code Code, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: code, Message: err.Error(), Err: errors.Unwrap(err)}
}

// Error returns the number and name of the code followed by the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Message)
}

// Unwrap returns the wrapped error, or nil.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of the first *Error in the chain of err, OK for nil,
// and Internal for an error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// HasCode reports whether the chain of err holds an *Error.
func HasCode(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// MessageOf returns the message of err without its code. It is empty for nil.
func MessageOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Message
	}
	if err == nil {
		return ""
	}
	return err.Error()
}

// RetryAfterOf returns when the caller that gets err should try again; 0 if err does not say.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
