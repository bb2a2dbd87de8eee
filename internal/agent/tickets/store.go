package tickets

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// UnusedLifetime is the time within which a ticket issued in advance must be
	// used.
	UnusedLifetime = 30 * time.Second
	// Retention is how long an outcome is kept after the end of its request.
	Retention = 10 * time.Minute
	// MaxKeptBytes bounds the memory used by all kept outcomes.
	MaxKeptBytes = 8 << 20
	// MaxResponseBytes bounds one kept response. A longer one is forwarded but not
	// kept, so that a single response cannot evict all others.
	MaxResponseBytes = 1 << 20
	// maxUnusedTickets bounds the tickets issued in advance and not used yet.
	maxUnusedTickets = 4096
	// recordOverheadBytes is the estimated memory used by a record without its
	// response.
	recordOverheadBytes = 320
)

// State is the state of a ticket.
type State int32

// States of a ticket. Issued changes to Running or Void, Running to Recorded,
// Unknown or Void. The other states are final.
const (
	Issued State = iota + 1
	Running
	Recorded
	Unknown
	// Void is the state of a ticket whose request has not run and never will: the
	// ticket was not used within UnusedLifetime, a query ended it before its use,
	// or its request failed before it could run.
	Void
)

// Response is a complete recorded response.
type Response struct {
	Status int
	Header []wire.HeaderField
	Body   []byte
}

func (r *Response) bytes() int {
	n := len(r.Body)
	for _, h := range r.Header {
		n += len(h.Name) + len(h.Value) + 32 // 16 bytes for each string header
	}
	return n
}

// record holds the state and the outcome of one ticket. Its state changes only by
// compare-and-swap.
type record struct {
	team           string
	issuedAt       time.Time
	state          atomic.Int32
	endedAt        time.Time // guarded by Store.mu, set with a final state
	sizeBytes      int       // guarded by Store.mu
	storedResponse atomic.Pointer[Response]
}

// Store holds the tickets of one incarnation of an agent. It is safe for concurrent
// use. Begin takes no lock of the store; Lookup takes it only to end an unused
// ticket.
type Store struct {
	worker      string
	incarnation string
	now         func() time.Time
	sequence    atomic.Uint64
	records     sync.Map // sequence -> *record

	mu             sync.Mutex
	endedSequences *list.List // sequences in order of their end
	keptBytes      int        // bytes of ended records
	unusedRecords  map[uint64]*record
}

// NewStore returns an empty store for one incarnation of an agent.
func NewStore(worker, incarnation string, now func() time.Time) *Store {
	return &Store{worker: worker, incarnation: incarnation, now: now, endedSequences: list.New(), unusedRecords: make(map[uint64]*record)}
}

// Issue returns a ticket that may be used once within UnusedLifetime. The error has
// the code Overloaded.
func (s *Store) Issue(team string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unusedRecords) >= maxUnusedTickets {
		return "", result.Errorf(result.Overloaded, "the limit of %d unused tickets is reached", maxUnusedTickets)
	}
	r := &record{team: team, issuedAt: s.now()}
	r.state.Store(int32(Issued))
	sequence := s.sequence.Add(1)
	s.records.Store(sequence, r)
	s.unusedRecords[sequence] = r
	return s.ticketText(sequence), nil
}

func (s *Store) ticketText(sequence uint64) string {
	return wire.Ticket{Worker: s.worker, Incarnation: s.incarnation, Sequence: sequence}.String()
}

// Run is the single run of a request that a ticket allows. It must end with
// RecordResponse, RecordUnknown or RecordNotRun.
type Run struct {
	store    *Store
	record   *record
	sequence uint64
	// Ticket is the text form of the ticket.
	Ticket string
}

// Begin issues a ticket that is used at once and returns its run.
func (s *Store) Begin(team string) *Run {
	r := &record{team: team}
	r.state.Store(int32(Running))
	sequence := s.sequence.Add(1)
	s.records.Store(sequence, r)
	return &Run{store: s, record: r, sequence: sequence, Ticket: s.ticketText(sequence)}
}

// Use returns the run of a ticket issued in advance. It returns a nil Run and no
// error if the ticket was used before; Lookup then returns the outcome.
func (s *Store) Use(text, team string) (*Run, error) {
	sequence, r, err := s.findRecord(text, team)
	if err != nil {
		return nil, err
	}
	if s.now().Sub(r.issuedAt) > UnusedLifetime {
		s.voidUnused(sequence, r)
	}
	if !r.state.CompareAndSwap(int32(Issued), int32(Running)) {
		if State(r.state.Load()) == Void {
			return nil, ticketVoidError()
		}
		return nil, nil
	}
	s.mu.Lock()
	delete(s.unusedRecords, sequence)
	s.mu.Unlock()
	return &Run{store: s, record: r, sequence: sequence, Ticket: text}, nil
}

func ticketVoidError() error {
	return result.Errorf(result.TicketUnavailable, "the ticket expired or was ended before its request ran")
}

// CheckUsed reports whether a ticket has been used, without using it. The error is
// the one that Use would return, except that a ticket past UnusedLifetime counts as
// unused until it is ended.
func (s *Store) CheckUsed(text, team string) (used bool, err error) {
	_, r, err := s.findRecord(text, team)
	if err != nil {
		return false, err
	}
	switch State(r.state.Load()) {
	case Issued:
		return false, nil
	case Void:
		return false, ticketVoidError()
	}
	return true, nil
}

// Lookup returns the outcome of a ticket: its response, or an error with the code
// InProgress, OutcomeUnknown, TicketUnavailable, Forbidden or BadTicket. It ends an
// unused ticket: otherwise a delayed request could run after the caller was told
// that it had not.
func (s *Store) Lookup(text, team string) (*Response, error) {
	sequence, r, err := s.findRecord(text, team)
	if err != nil {
		return nil, err
	}
	s.voidUnused(sequence, r)
	switch State(r.state.Load()) {
	case Running:
		return nil, result.Errorf(result.InProgress, "the request is still running")
	case Void:
		return nil, ticketVoidError()
	}
	if p := r.storedResponse.Load(); p != nil {
		return p, nil
	}
	return nil, outcomeUnknownError()
}

func outcomeUnknownError() error {
	return result.Errorf(result.OutcomeUnknown, "the outcome of the request is unknown or no longer kept")
}

// findRecord parses a ticket and returns its sequence number and its record. The
// error has the code BadTicket, Forbidden if the ticket belongs to another team, or
// OutcomeUnknown if it is of another incarnation or no longer kept.
func (s *Store) findRecord(text, team string) (uint64, *record, error) {
	t, err := wire.ParseTicket(text)
	if err != nil {
		return 0, nil, err
	}
	if t.Worker != s.worker {
		return 0, nil, result.Errorf(result.BadTicket, "the ticket was issued by another worker")
	}
	if t.Incarnation != s.incarnation {
		return 0, nil, outcomeUnknownError()
	}
	if t.Sequence > s.sequence.Load() {
		return 0, nil, result.Errorf(result.BadTicket, "the ticket was never issued")
	}
	v, ok := s.records.Load(t.Sequence)
	if !ok {
		return 0, nil, outcomeUnknownError()
	}
	r := v.(*record)
	if r.team != team {
		return 0, nil, result.Errorf(result.Forbidden, "the ticket belongs to another team")
	}
	return t.Sequence, r, nil
}

// voidUnused ends a ticket that has not been used. It has no effect on a ticket that
// has been used or has ended.
func (s *Store) voidUnused(sequence uint64, r *record) {
	if r.state.CompareAndSwap(int32(Issued), int32(Void)) {
		s.recordEnd(sequence, r, 0)
	}
}

// RecordResponse ends the run and records its complete response. A nil response, or
// one longer than MaxResponseBytes, is not kept; the outcome is then Unknown.
func (r *Run) RecordResponse(response *Response) {
	bytes := 0
	state := Unknown
	if response != nil {
		bytes = response.bytes()
		state = Recorded
	}
	if bytes > MaxResponseBytes {
		response, bytes, state = nil, 0, Unknown
	}
	r.record.storedResponse.Store(response)
	if r.record.state.CompareAndSwap(int32(Running), int32(state)) {
		r.store.recordEnd(r.sequence, r.record, bytes)
	}
}

// RecordUnknown ends the run and records that its outcome is unknown.
func (r *Run) RecordUnknown() { r.RecordResponse(nil) }

// RecordNotRun ends the run and records that the request provably has not run and
// never will.
func (r *Run) RecordNotRun() {
	if r.record.state.CompareAndSwap(int32(Running), int32(Void)) {
		r.store.recordEnd(r.sequence, r.record, 0)
	}
}

// recordEnd adds a record that has reached a final state, with a response of the
// given size, to the ended records, and evicts the oldest ones if needed.
func (s *Store) recordEnd(sequence uint64, r *record, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unusedRecords, sequence)
	r.endedAt = s.now()
	r.sizeBytes = bytes + recordOverheadBytes
	s.endedSequences.PushBack(sequence)
	s.keptBytes += r.sizeBytes
	s.evict()
}

// evict drops the oldest ended records until the rest is within Retention and
// MaxKeptBytes.
func (s *Store) evict() {
	for e := s.endedSequences.Front(); e != nil; e = s.endedSequences.Front() {
		sequence := e.Value.(uint64)
		v, _ := s.records.Load(sequence)
		r := v.(*record)
		if s.keptBytes <= MaxKeptBytes && s.now().Sub(r.endedAt) <= Retention {
			return
		}
		s.endedSequences.Remove(e)
		s.records.Delete(sequence)
		s.keptBytes -= r.sizeBytes
	}
}

// Tick ends the tickets that were not used within UnusedLifetime and evicts old
// outcomes.
func (s *Store) Tick() {
	now := s.now()
	s.mu.Lock()
	var expired []uint64
	for sequence, r := range s.unusedRecords {
		if now.Sub(r.issuedAt) > UnusedLifetime {
			expired = append(expired, sequence)
		}
	}
	s.evict()
	s.mu.Unlock()
	for _, sequence := range expired {
		if v, ok := s.records.Load(sequence); ok {
			s.voidUnused(sequence, v.(*record))
		}
	}
}

// Stats describes the store in the state dump. Issued counts all tickets, Waiting
// the unused ones, Kept the ended records.
type Stats struct {
	Issued     uint64 `json:"issued"`
	Waiting    int    `json:"waiting"`
	Kept       int    `json:"kept"`
	KeptBytes  int    `json:"kept_bytes"`
	LimitBytes int    `json:"limit_bytes"`
}

// Stats returns the current counts for the state dump.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Issued: s.sequence.Load(), Waiting: len(s.unusedRecords), Kept: s.endedSequences.Len(), KeptBytes: s.keptBytes, LimitBytes: MaxKeptBytes}
}
