package wire

import (
	"testing"

	"snipegw/internal/result"
)

// FuzzTicket guards against two accepted spellings of one ticket, which would let
// a request run twice.
func FuzzTicket(f *testing.F) {
	f.Add("w1/0000000000000000a/1")
	f.Add("w1//1")
	f.Add("w1/a/01")
	f.Add("w1/a/+1")
	f.Add("w1/a/18446744073709551616")
	for _, seed := range []string{"a/b/c/d", "w1/inc/0", "//", "w/ä/7", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := ParseTicket(text)
		if err != nil {
			if result.CodeOf(err) != result.BadTicket {
				t.Fatalf("ParseTicket failed with code %d, want BadTicket", result.CodeOf(err))
			}
			return
		}
		if ticket.String() != text {
			t.Fatalf("%q was parsed as %q", text, ticket)
		}
	})
}
