// Package auth authenticates callers by their bearer tokens.
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

// maxTokenBytes is the maximum size of a bearer token.
const maxTokenBytes = 512

// Identity identifies the sender of a request, which is a team or an operator.
type Identity struct {
	Team     string
	Operator bool
}

// credential is the SHA-256 hash of a token and the identity that it proves.
type credential struct {
	hash     [sha256.Size]byte
	identity Identity
}

// Authenticator checks tokens against the current configuration. It is safe for
// concurrent use and takes no lock.
type Authenticator struct {
	credentials atomic.Pointer[[]credential]
}

// SetConfig replaces the token hashes by those of c. A hash that is not a
// hexadecimal SHA-256 hash is ignored.
func (a *Authenticator) SetConfig(c *model.Config) {
	var list []credential
	for _, h := range c.OperatorTokenHashes {
		list = appendCredential(list, h, Identity{Operator: true})
	}
	for _, t := range c.Teams {
		for _, h := range t.TokenHashes {
			list = appendCredential(list, h, Identity{Team: t.ID})
		}
	}
	a.credentials.Store(&list)
}

func appendCredential(list []credential, hexHash string, id Identity) []credential {
	sum, err := hex.DecodeString(hexHash)
	if err != nil || len(sum) != sha256.Size {
		return list
	}
	return append(list, credential{hash: [sha256.Size]byte(sum), identity: id})
}

// Authenticate returns the identity for the value of an Authorization header. It
// compares the hash of the token with every known hash in constant time. It fails
// with result.Unauthenticated, or with result.ConfigVersionUnknown before the first
// SetConfig.
func (a *Authenticator) Authenticate(header string) (Identity, error) {
	list := a.credentials.Load()
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
		return Identity{}, result.Errorf(result.Unauthenticated, "the bearer token belongs to no team and no operator of the current configuration; send a valid one")
	}
	return (*list)[found].identity, nil
}
