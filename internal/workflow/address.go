package workflow

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// maxAddressBytes limits an address: the longest host name, a colon and a port.
const maxAddressBytes = 253 + 6

// ValidateAddress checks that an address of another process is host:port with a port from 1 to
// 65535.
func ValidateAddress(address string) error {
	if len(address) > maxAddressBytes {
		return fmt.Errorf("address of %d bytes exceeds %d", len(address), maxAddressBytes)
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if host == "" || strings.IndexFunc(host, func(c rune) bool { return c <= ' ' || c > '~' }) >= 0 {
		return fmt.Errorf("address %q names no host", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("address %q: the port must be 1 to 65535", address)
	}
	return nil
}
