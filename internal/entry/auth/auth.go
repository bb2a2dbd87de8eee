// Package auth identifies callers by their bearer tokens.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"snipegw/internal/model"
	"snipegw/internal/result"
)

// maxTokenBytes bounds a bearer token.
const maxTokenBytes = 512

// Identity is who sent a request: a team or an operator.
type Identity struct {
	Team     string
	Operator bool
}

type credential struct {
	hash     [sha256.Size]byte
	identity Identity
}

// Authenticator checks tokens against the configuration in force. It is safe
// for concurrent use and takes no lock.
type Authenticator struct {
	current atomic.Pointer[[]credential]
}

// SetConfig takes over the token hashes of c. A hash that is not the
// hexadecimal form of a SHA-256 sum is ignored.
func (a *Authenticator) SetConfig(c *model.Config) {
	var list []credential
	for _, h := range c.OperatorHashes {
		list = appendCredential(list, h, Identity{Operator: true})
	}
	for _, t := range c.Teams {
		for _, h := range t.TokenHashes {
			list = appendCredential(list, h, Identity{Team: t.ID})
		}
	}
	a.current.Store(&list)
}

func appendCredential(list []credential, text string, id Identity) []credential {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return list
	}
	return append(list, credential{hash: [sha256.Size]byte(raw), identity: id})
}

// Authenticate returns the identity for the value of an Authorization header.
// The hash of the token is compared with every known hash in constant time.
func (a *Authenticator) Authenticate(header string) (Identity, error) {
	list := a.current.Load()
	if list == nil {
		return Identity{}, result.Errorf(result.ConfigVersionUnknown, "this entry has no configuration yet, so it cannot check tokens")
	}
	scheme, token, _ := strings.Cut(header, " ")
	token = strings.TrimSpace(token)
	if !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > maxTokenBytes {
		return Identity{}, result.Errorf(result.Unauthenticated, "send the header Authorization: Bearer <token> with a token of at most %d bytes", maxTokenBytes)
	}
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range *list {
		if subtle.ConstantTimeCompare(sum[:], (*list)[i].hash[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Identity{}, result.Errorf(result.Unauthenticated, "the bearer token belongs to no team and no operator of the configuration in force; send a valid one")
	}
	return (*list)[found].identity, nil
}
