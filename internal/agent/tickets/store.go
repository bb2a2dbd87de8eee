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
	// Lifetime is the time in which a ticket taken in advance must be used.
	Lifetime = 30 * time.Second
	// Retention is the time for which an outcome is kept.
	Retention = 10 * time.Minute
	// MaxTotalBytes bounds the memory of all kept outcomes.
	MaxTotalBytes = 8 << 20
	// MaxResponseBytes bounds one kept response. A longer one is passed on but
	// not kept, so that a single response cannot displace all others.
	MaxResponseBytes = 1 << 20
	// maxIssued bounds the tickets taken in advance and not used yet.
	maxIssued = 4096
	// recordBytes is the estimated memory of a record without its response.
	recordBytes = 320
)

// State is the state of a ticket.
type State int32

// States of a ticket. Issued changes to Running or Void, Running to Recorded or
// Unknown; the others are final.
const (
	Issued State = iota + 1
	Running
	Recorded
	Unknown
	// Void is a ticket that was not used in time or that a query has ended
	// before its use; its request has not run and never will.
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
		n += len(h.Name) + len(h.Value) + 32
	}
	return n
}

// record changes its state only by compare-and-swap.
type record struct {
	team    string
	issued  time.Time
	state   atomic.Int32
	ended   time.Time // guarded by Store.mu, set with a final state
	bytes   int       // guarded by Store.mu
	payload atomic.Pointer[Response]
}

// Store is safe for concurrent use. Begin and Lookup take no lock of the store.
type Store struct {
	worker      string
	incarnation string
	now         func() time.Time
	sequence    atomic.Uint64
	records     sync.Map // sequence -> *record

	mu      sync.Mutex
	ended   *list.List // sequences in order of their end
	total   int        // bytes of ended records
	advance map[uint64]*record
}

// NewStore returns an empty store for one incarnation of an agent.
func NewStore(worker, incarnation string, now func() time.Time) *Store {
	return &Store{worker: worker, incarnation: incarnation, now: now, ended: list.New(), advance: make(map[uint64]*record)}
}

// Issue returns a ticket that may be used once within Lifetime.
func (s *Store) Issue(team string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.advance) >= maxIssued {
		return "", result.Errorf(result.Overloaded, "%d tickets are waiting for their use", maxIssued)
	}
	r := &record{team: team, issued: s.now()}
	r.state.Store(int32(Issued))
	sequence := s.sequence.Add(1)
	s.records.Store(sequence, r)
	s.advance[sequence] = r
	return s.ticket(sequence), nil
}

func (s *Store) ticket(sequence uint64) string {
	return wire.Ticket{Worker: s.worker, Incarnation: s.incarnation, Sequence: sequence}.String()
}

// Run is the single run that a ticket allows. It ends by Finish or Abandon.
type Run struct {
	store    *Store
	record   *record
	sequence uint64
	// Ticket is the text form of the ticket.
	Ticket string
}

// Begin returns a run with a new ticket.
func (s *Store) Begin(team string) *Run {
	r := &record{team: team}
	r.state.Store(int32(Running))
	sequence := s.sequence.Add(1)
	s.records.Store(sequence, r)
	return &Run{store: s, record: r, sequence: sequence, Ticket: s.ticket(sequence)}
}

// Use returns the run of a ticket taken in advance. It returns a nil Run and no
// error if the ticket was used before; Lookup then tells the outcome.
func (s *Store) Use(text, team string) (*Run, error) {
	sequence, r, err := s.find(text, team)
	if err != nil {
		return nil, err
	}
	if s.now().Sub(r.issued) > Lifetime {
		s.void(sequence, r)
	}
	if !r.state.CompareAndSwap(int32(Issued), int32(Running)) {
		if State(r.state.Load()) == Void {
			return nil, unused()
		}
		return nil, nil
	}
	s.mu.Lock()
	delete(s.advance, sequence)
	s.mu.Unlock()
	return &Run{store: s, record: r, sequence: sequence, Ticket: text}, nil
}

func unused() error {
	return result.Errorf(result.TicketUnavailable, "the ticket has expired without a run of its request")
}

// Check reports the error that Use would return, without using the ticket. Used
// is true if its request has begun before.
func (s *Store) Check(text, team string) (used bool, err error) {
	_, r, err := s.find(text, team)
	if err != nil {
		return false, err
	}
	switch State(r.state.Load()) {
	case Issued:
		return false, nil
	case Void:
		return false, unused()
	}
	return true, nil
}

// Lookup returns the outcome of a ticket: its response, or an error with the
// code InProgress, OutcomeUnknown, TicketUnavailable, Forbidden or BadTicket. A
// ticket that is still unused is ended by the query: otherwise a delayed
// request could run after the caller was told that it had not.
func (s *Store) Lookup(text, team string) (*Response, error) {
	sequence, r, err := s.find(text, team)
	if err != nil {
		return nil, err
	}
	s.void(sequence, r)
	switch State(r.state.Load()) {
	case Running:
		return nil, result.Errorf(result.InProgress, "the request is still running")
	case Void:
		return nil, unused()
	}
	if p := r.payload.Load(); p != nil {
		return p, nil
	}
	return nil, unknown()
}

func unknown() error {
	return result.Errorf(result.OutcomeUnknown, "the outcome of the request is not known or no longer kept")
}

func (s *Store) find(text, team string) (uint64, *record, error) {
	t, err := wire.ParseTicket(text)
	if err != nil {
		return 0, nil, err
	}
	if t.Worker != s.worker {
		return 0, nil, result.Errorf(result.BadTicket, "the ticket was issued by another worker")
	}
	if t.Incarnation != s.incarnation {
		return 0, nil, unknown()
	}
	if t.Sequence > s.sequence.Load() {
		return 0, nil, result.Errorf(result.BadTicket, "the ticket was never issued")
	}
	v, ok := s.records.Load(t.Sequence)
	if !ok {
		return 0, nil, unknown()
	}
	r := v.(*record)
	if r.team != team {
		return 0, nil, result.Errorf(result.Forbidden, "the ticket belongs to another team")
	}
	return t.Sequence, r, nil
}

func (s *Store) void(sequence uint64, r *record) {
	if r.state.CompareAndSwap(int32(Issued), int32(Void)) {
		s.end(sequence, r, 0)
	}
}

// Finish records the complete response; nil if it is too long to be kept.
func (r *Run) Finish(response *Response) {
	bytes := 0
	state := Unknown
	if response != nil {
		bytes = response.bytes()
		state = Recorded
	}
	if bytes > MaxResponseBytes {
		response, bytes, state = nil, 0, Unknown
	}
	r.record.payload.Store(response)
	if r.record.state.CompareAndSwap(int32(Running), int32(state)) {
		r.store.end(r.sequence, r.record, bytes)
	}
}

// Abandon records that the outcome is unknown.
func (r *Run) Abandon() { r.Finish(nil) }

// NotRun records that the request has provably not run and never will.
func (r *Run) NotRun() {
	if r.record.state.CompareAndSwap(int32(Running), int32(Void)) {
		r.store.end(r.sequence, r.record, 0)
	}
}

func (s *Store) end(sequence uint64, r *record, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.advance, sequence)
	r.ended = s.now()
	r.bytes = bytes + recordBytes
	s.ended.PushBack(sequence)
	s.total += r.bytes
	s.evict()
}

// evict drops the oldest records beyond the limits of time and memory.
func (s *Store) evict() {
	for e := s.ended.Front(); e != nil; e = s.ended.Front() {
		sequence := e.Value.(uint64)
		v, _ := s.records.Load(sequence)
		r := v.(*record)
		if s.total <= MaxTotalBytes && s.now().Sub(r.ended) <= Retention {
			return
		}
		s.ended.Remove(e)
		s.records.Delete(sequence)
		s.total -= r.bytes
	}
}

// Tick ends the tickets that were not used in time and drops old outcomes.
func (s *Store) Tick() {
	now := s.now()
	s.mu.Lock()
	var late []uint64
	for sequence, r := range s.advance {
		if now.Sub(r.issued) > Lifetime {
			late = append(late, sequence)
		}
	}
	s.evict()
	s.mu.Unlock()
	for _, sequence := range late {
		if v, ok := s.records.Load(sequence); ok {
			s.void(sequence, v.(*record))
		}
	}
}

// Stats describes the store for the state dump.
type Stats struct {
	Issued     uint64 `json:"issued"`
	Waiting    int    `json:"waiting"`
	Kept       int    `json:"kept"`
	KeptBytes  int    `json:"kept_bytes"`
	LimitBytes int    `json:"limit_bytes"`
}

// Stats returns the present counts.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Issued: s.sequence.Load(), Waiting: len(s.advance), Kept: s.ended.Len(), KeptBytes: s.total, LimitBytes: MaxTotalBytes}
}
