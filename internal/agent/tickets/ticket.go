// Package tickets issues the tickets of non-idempotent requests and keeps their
// outcomes, so that a request with a ticket runs at most once and its caller
// can ask for the outcome.
package tickets

import (
	"strconv"
	"strings"

	"snipegw/internal/result"
)

// MaxTicketBytes bounds the text form of a ticket.
const MaxTicketBytes = 512

// Ticket identifies one run of a request.
type Ticket struct {
	Worker      string
	Incarnation string
	Sequence    uint64
}

// String returns worker/incarnation/sequence.
func (t Ticket) String() string {
	return t.Worker + "/" + t.Incarnation + "/" + strconv.FormatUint(t.Sequence, 10)
}

// Parse reads the text form of a ticket. The error has the code BadTicket.
func Parse(text string) (Ticket, error) {
	if len(text) > MaxTicketBytes {
		return Ticket{}, result.Errorf(result.BadTicket, "a ticket has at most %d bytes", MaxTicketBytes)
	}
	parts := strings.Split(text, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return Ticket{}, result.Errorf(result.BadTicket, "a ticket has the form worker/incarnation/sequence")
	}
	sequence, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || sequence == 0 || strconv.FormatUint(sequence, 10) != parts[2] {
		return Ticket{}, result.Errorf(result.BadTicket, "the sequence of a ticket is a positive number")
	}
	return Ticket{Worker: parts[0], Incarnation: parts[1], Sequence: sequence}, nil
}
