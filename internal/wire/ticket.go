package wire

import (
	"strconv"
	"strings"

	"snipegw/internal/result"
)

// maxTicketBytes limits the text form of a ticket.
const maxTicketBytes = 256

// Ticket identifies one execution of a non-idempotent request.
type Ticket struct {
	Worker      string
	Incarnation string
	Sequence    uint64 // starts at 1
}

// String returns the form <worker>/<incarnation>/<sequence>.
func (t Ticket) String() string {
	return t.Worker + "/" + t.Incarnation + "/" + strconv.FormatUint(t.Sequence, 10)
}

// ParseTicket parses the form that String returns. It accepts no other spelling
// of a ticket, since two texts for one ticket would let a request run twice. The
// error has the code BadTicket.
func ParseTicket(text string) (Ticket, error) {
	parts := strings.Split(text, "/")
	if len(text) > maxTicketBytes || len(parts) != 3 || !isPlainName(parts[0]) || !isPlainName(parts[1]) {
		return Ticket{}, badTicketError(text)
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || seq == 0 || strconv.FormatUint(seq, 10) != parts[2] {
		return Ticket{}, badTicketError(text)
	}
	return Ticket{Worker: parts[0], Incarnation: parts[1], Sequence: seq}, nil
}

func badTicketError(text string) error {
	return result.Errorf(result.BadTicket, "malformed ticket %.80q: expected <worker>/<incarnation>/<sequence>", text)
}

// isPlainName reports whether s is not empty and consists of ASCII letters,
// digits, '.', '_', '-' and ':'.
func isPlainName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '.' && c != '_' && c != '-' && c != ':' {
			return false
		}
	}
	return s != ""
}
