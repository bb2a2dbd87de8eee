package wire

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// RequestHead is the first message on a request stream.
type RequestHead struct {
	ID         string        `cbor:"1,keyasint"`
	Team       string        `cbor:"2,keyasint"`
	Service    string        `cbor:"3,keyasint"`
	Method     string        `cbor:"4,keyasint"`
	Target     string        `cbor:"5,keyasint"` // path and query
	Header     []HeaderField `cbor:"6,keyasint,omitempty"`
	Idempotent bool          `cbor:"7,keyasint,omitempty"`
	// TimeoutMS is the remaining time until the caller's deadline, in
	// milliseconds.
	TimeoutMS int64 `cbor:"8,keyasint"`
	// BodyBytes is the length of the body, -1 if unknown.
	BodyBytes int64 `cbor:"9,keyasint"`
	// Ticket is the ticket that the caller obtained in advance, if any.
	Ticket string `cbor:"10,keyasint,omitempty"`
}

// Admission is the agent's first reply on a request stream: it admits the
// request or refuses it with a Fault. Whether a refused request may have run depends
// on the code of the Fault (see result.Code.NotRun).
type Admission struct {
	Fault  *Fault `cbor:"1,keyasint,omitempty"`
	Ticket string `cbor:"2,keyasint,omitempty"`
	// FreeSlots is the number of free slots after this admission.
	FreeSlots int `cbor:"3,keyasint,omitempty"`
}

// ResponseHead precedes the body of a response. Its Fault is a failure after
// admission; its code says whether the request may have run.
type ResponseHead struct {
	Fault     *Fault        `cbor:"1,keyasint,omitempty"`
	Status    int           `cbor:"2,keyasint,omitempty"`
	Header    []HeaderField `cbor:"3,keyasint,omitempty"`
	BodyBytes int64         `cbor:"4,keyasint,omitempty"` // -1 if unknown
	Replayed  bool          `cbor:"5,keyasint,omitempty"` // the response is a recorded one
}

// TicketIssue asks for a ticket ahead of the request that will use it.
type TicketIssue struct {
	Service string `cbor:"1,keyasint"`
	Team    string `cbor:"2,keyasint"`
}

// TicketReply carries a ticket and its lifetime in milliseconds. An unused ticket
// is invalid after its lifetime.
type TicketReply struct {
	Ticket     string `cbor:"1,keyasint"`
	LifetimeMS int64  `cbor:"2,keyasint"`
}

// TicketQuery asks for the outcome of the request that used a ticket.
type TicketQuery struct {
	Ticket string `cbor:"1,keyasint"`
	Team   string `cbor:"2,keyasint"`
}
