// Package tickets issues the tickets of non-idempotent requests and keeps their
// outcomes, so that a request with a ticket runs at most once and its caller
// can ask for the outcome.
package tickets
