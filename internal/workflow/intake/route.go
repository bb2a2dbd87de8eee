package intake

import (
	"net/http"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/workflow"
)

// Fronts holds the registered HTTP implementations of the callers' interface.
// Each returns a handler for callers and one for the balancer's readiness check.
var Fronts = kernel.NewRegistry[func(*Intake) (callers, ready http.Handler)]("callers' interface")

// Route returns the queue that host and path select, the team of token, and the
// rest of the path. The team is empty on public queues, which accept any caller.
// Errors have code ConfigVersionUnknown, UnknownQueue or Unauthenticated.
func (in *Intake) Route(host, path, token string) (q *workflow.Queue, team, rest string, err error) {
	c := in.Config()
	if c == nil {
		return nil, "", "", result.Errorf(result.ConfigVersionUnknown, "this entry has no configuration yet")
	}
	q, rest = c.Match(host, path)
	if q == nil {
		return nil, "", "", result.Errorf(result.UnknownQueue, "no queue is configured for %s%s", host, path)
	}
	team, known := c.TeamOf(token)
	if q.Public {
		return q, "", rest, nil
	}
	if !known {
		return nil, "", "", result.Errorf(result.Unauthenticated, "the token belongs to no team")
	}
	return q, team, rest, nil
}
