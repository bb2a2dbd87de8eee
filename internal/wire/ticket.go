package wire

import (
	"strconv"
	"strings"

	"snipegw/internal/result"
)

// maxTicketBytes bounds the text form of a ticket.
const maxTicketBytes = 256

// Ticket names one run of a non-idempotent request.
type Ticket struct {
	Worker      string
	Incarnation string
	Sequence    uint64 // from 1
}

// String returns the form <worker>/<incarnation>/<sequence>.
func (t Ticket) String() string {
	return t.Worker + "/" + t.Incarnation + "/" + strconv.FormatUint(t.Sequence, 10)
}

// ParseTicket is the reverse of String. It accepts no other form: two texts for
// one ticket would let a request run twice. The error has the code BadTicket.
func ParseTicket(text string) (Ticket, error) {
	parts := strings.Split(text, "/")
	if len(text) > maxTicketBytes || len(parts) != 3 || !plainName(parts[0]) || !plainName(parts[1]) {
		return Ticket{}, badTicket(text)
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || seq == 0 || strconv.FormatUint(seq, 10) != parts[2] {
		return Ticket{}, badTicket(text)
	}
	return Ticket{Worker: parts[0], Incarnation: parts[1], Sequence: seq}, nil
}

func badTicket(text string) error {
	return result.Errorf(result.BadTicket, "%.80q is no ticket of the form <worker>/<incarnation>/<sequence>", text)
}

// plainName accepts letters, digits, '.', '_', '-' and ':'.
func plainName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '.' && c != '_' && c != '-' && c != ':' {
			return false
		}
	}
	return s != ""
}
