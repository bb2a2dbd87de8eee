package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"snipegw/internal/model"
	"snipegw/internal/result"
)

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Guards against tokens that are accepted for the wrong identity or in another form
// than Authorization: Bearer <token>.
func TestAuthenticate(t *testing.T) {
	var a Authenticator
	if _, err := a.Authenticate("Bearer x"); result.CodeOf(err) != result.ConfigVersionUnknown {
		t.Fatalf("without a configuration: %v", err)
	}
	a.SetConfig(&model.Config{
		OperatorTokenHashes: []string{hashOf("op"), "not a hash"},
		Teams:               []model.Team{{ID: "a", TokenHashes: []string{hashOf("old"), hashOf("new")}}, {ID: "b", TokenHashes: []string{hashOf("b")}}},
	})
	for header, want := range map[string]Identity{
		"Bearer op": {Operator: true}, "Bearer old": {Team: "a"}, "bearer new": {Team: "a"}, "Bearer  b": {Team: "b"},
	} {
		if got, err := a.Authenticate(header); err != nil || got != want {
			t.Errorf("%q: %+v, %v", header, got, err)
		}
	}
	for _, header := range []string{"", "op", "Bearer", "Bearer ", "Basic op", "Bearer " + hashOf("op"), "Bearer opp", "Bearer " + strings.Repeat("x", maxTokenBytes+1)} {
		if got, err := a.Authenticate(header); result.CodeOf(err) != result.Unauthenticated {
			t.Errorf("%.40q: %+v, %v", header, got, err)
		}
	}
}
