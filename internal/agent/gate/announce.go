package gate

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"strings"

	"snipegw/internal/result"
)

// Limits of an announcement.
const (
	// MaxAnnouncementBytes bounds the JSON text of an announcement.
	MaxAnnouncementBytes = 4 << 10
	maxNameBytes         = 128
	maxSlots             = 1024
)

// Announcement is the message by which a backend server registers with the agent
// of its host.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP address and port of the backend server.
	Address string `json:"address,omitempty"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `json:"slots,omitempty"`
	// Instance identifies one run of the backend server; each start has another one.
	Instance string `json:"instance"`
}

// ParseAnnouncement parses and validates an announcement. If leave is set, only
// the service and the instance are required. The error has the code BadRequest.
func ParseAnnouncement(data []byte, leave bool) (Announcement, error) {
	var a Announcement
	if len(data) > MaxAnnouncementBytes {
		return a, result.Errorf(result.BadRequest, "the announcement exceeds %d bytes", MaxAnnouncementBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return a, result.Errorf(result.BadRequest, "announcement: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return a, result.Errorf(result.BadRequest, "announcement: unexpected data after the JSON object")
	}
	if !validName(a.Service) {
		return a, result.Errorf(result.BadRequest, "service: must be 1 to %d letters, digits or characters of -_.", maxNameBytes)
	}
	if !validName(a.Instance) {
		return a, result.Errorf(result.BadRequest, "instance: must be 1 to %d letters, digits or characters of -_.", maxNameBytes)
	}
	if leave {
		return a, nil
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return a, result.Errorf(result.BadRequest, "slots: must be 1 to %d", maxSlots)
	}
	addr, err := netip.ParseAddrPort(a.Address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return a, result.Errorf(result.BadRequest, "address: must be the IP address and port of the backend server")
	}
	return a, nil
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
	}) < 0
}
