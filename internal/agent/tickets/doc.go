// Package tickets issues tickets for non-idempotent requests and keeps the outcomes
// of these requests. A request with a ticket runs at most once, and its caller can
// query the outcome.
package tickets
