package wire

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// RequestHead opens a request stream.
type RequestHead struct {
	ID         string        `cbor:"1,keyasint"`
	Team       string        `cbor:"2,keyasint"`
	Service    string        `cbor:"3,keyasint"`
	Method     string        `cbor:"4,keyasint"`
	Target     string        `cbor:"5,keyasint"` // path and query
	Header     []HeaderField `cbor:"6,keyasint,omitempty"`
	Idempotent bool          `cbor:"7,keyasint,omitempty"`
	// TimeoutMS is the time left to the caller's deadline in milliseconds.
	TimeoutMS int64 `cbor:"8,keyasint"`
	// BodyBytes is the length of the body; -1 if unknown.
	BodyBytes int64 `cbor:"9,keyasint"`
	// Ticket is set for a ticket taken in advance.
	Ticket string `cbor:"10,keyasint,omitempty"`
}

// Admission is the agent's first answer on a request stream. With a Fault that
// says not run, the request was not run.
type Admission struct {
	Fault  *Fault `cbor:"1,keyasint,omitempty"`
	Ticket string `cbor:"2,keyasint,omitempty"`
	// FreeSlots is the number of free slots after this admission.
	FreeSlots int `cbor:"3,keyasint,omitempty"`
}

// ResponseHead precedes the body of a response. A Fault here comes after
// admission, so the request may have run as the code says.
type ResponseHead struct {
	Fault     *Fault        `cbor:"1,keyasint,omitempty"`
	Status    int           `cbor:"2,keyasint,omitempty"`
	Header    []HeaderField `cbor:"3,keyasint,omitempty"`
	BodyBytes int64         `cbor:"4,keyasint,omitempty"` // -1 if unknown
	Replayed  bool          `cbor:"5,keyasint,omitempty"` // a recorded answer
}

// TicketIssue asks for a ticket in advance.
type TicketIssue struct {
	Service string `cbor:"1,keyasint"`
	Team    string `cbor:"2,keyasint"`
}

// TicketReply carries a ticket and the time in which it must be used.
type TicketReply struct {
	Ticket     string `cbor:"1,keyasint"`
	LifetimeMS int64  `cbor:"2,keyasint"`
}

// TicketQuery asks what became of a ticket.
type TicketQuery struct {
	Ticket string `cbor:"1,keyasint"`
	Team   string `cbor:"2,keyasint"`
}
