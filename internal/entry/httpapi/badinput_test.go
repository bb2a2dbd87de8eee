package httpapi

import (
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
)

// invalidInput is an invalid call, the code of the refusal, and a part of the message
// that tells the caller what to change.
type invalidInput struct {
	name, method, path, body string
	header                   []string
	code                     result.Code
	messagePart              string
}

var (
	asOperator = []string{"Authorization", "Bearer " + operatorToken}
	validShape = `"shape":{"tasks":2,"accelerators_per_task":8,"adjacent":"any"}`
)

var invalidInputs = []invalidInput{
	{"no token", "GET", requestPathPrefix + "/x", "", []string{"Authorization", ""}, result.Unauthenticated, "Authorization: Bearer"},
	{"wrong token", "GET", requestPathPrefix + "/x", "", []string{"Authorization", "Bearer wrong"}, result.Unauthenticated, "no team"},
	{"wrong token for a job", "GET", "/v1/jobs/j", "", []string{"Authorization", "Bearer wrong"}, result.Unauthenticated, "no team"},
	{"operator without a team", "GET", requestPathPrefix + "/x", "", asOperator, result.Forbidden, HeaderTeam},
	{"operator for an unknown team", "GET", requestPathPrefix + "/x", "", append([]string{HeaderTeam, "nobody"}, asOperator...), result.UnknownTeam, "nobody"},
	{"unknown service", "GET", "/v1/services/other/request/x", "", nil, result.UnknownService, "other"},
	{"body over the limit", "POST", requestPathPrefix + "/x", strings.Repeat("x", 100_001), nil, result.BodyTooLarge, "100000"},
	{"timeout that is not a number", "GET", requestPathPrefix + "/x", "", []string{HeaderTimeout, "soon"}, result.BadRequest, HeaderTimeout},
	{"timeout above the maximum", "GET", requestPathPrefix + "/x", "", []string{HeaderTimeout, "60001"}, result.BadRequest, "60000"},
	{"boolean header that is neither true nor false", "GET", requestPathPrefix + "/x", "", []string{HeaderIdempotent, "maybe"}, result.BadRequest, HeaderIdempotent},
	{"ticket in a wrong format", "POST", requestPathPrefix + "/x", "", []string{HeaderTicket, "w0/1"}, result.BadTicket, "<worker>/<incarnation>/<sequence>"},
	{"ticket path with a signed sequence number", "GET", "/v1/tickets/w0/a/+1", "", nil, result.BadTicket, "+1"},
	{"ticket of an unknown worker", "GET", "/v1/tickets/gone/a/1", "", nil, result.OutcomeUnknown, "gone"},
	{"unknown path", "GET", "/v2/jobs", "", nil, result.NotFound, "/v2/jobs"},
	{"wrong method", "PUT", "/v1/jobs", "", nil, result.NotFound, "PUT"},
	{"empty JSON body", "POST", "/v1/jobs", "", nil, result.BadRequest, "empty"},
	{"broken JSON", "POST", "/v1/jobs", `{"class":`, nil, result.BadRequest, "JSON"},
	{"two JSON values", "POST", "/v1/jobs", `{"class":"urgent",` + validShape + `}{}`, nil, result.BadRequest, "more than one"},
	{"unknown field", "POST", "/v1/jobs", `{"class":"urgent","shap":1}`, nil, result.UnknownField, "shap"},
	{"unknown nested field", "POST", "/v1/jobs", `{"class":"urgent","shape":{"task":1}}`, nil, result.UnknownField, "task"},
	{"field of a wrong type", "POST", "/v1/jobs", `{"class":"urgent","shape":{"tasks":"two"}}`, nil, result.BadRequest, "shape.tasks"},
	{"JSON body over the limit", "POST", "/v1/jobs", `{"id":"` + strings.Repeat("x", maxJSONBytes) + `"}`, nil, result.BodyTooLarge, "1048576"},
	{"job id with a slash", "POST", "/v1/jobs", `{"id":"a/b","class":"urgent",` + validShape + `}`, nil, result.BadRequest, "job id"},
	{"unknown class", "POST", "/v1/jobs", `{"class":"fast",` + validShape + `}`, nil, result.BadRequest, "class"},
	{"unknown adjacency", "POST", "/v1/jobs", `{"class":"urgent","shape":{"tasks":1,"cores_per_task":1,"adjacent":"near"}}`, nil, result.BadRequest, "shape.adjacent"},
	{"no tasks", "POST", "/v1/jobs", `{"class":"urgent","shape":{"tasks":0,"cores_per_task":1,"adjacent":"any"}}`, nil, result.BadRequest, "shape.tasks"},
	{"negative resources", "POST", "/v1/jobs", `{"class":"urgent","shape":{"tasks":1,"cores_per_task":-1,"adjacent":"any"}}`, nil, result.BadRequest, "per task"},
	{"no resources", "POST", "/v1/jobs", `{"class":"urgent","shape":{"tasks":1,"adjacent":"any"}}`, nil, result.BadRequest, "no resources"},
	{"task that fits no worker", "POST", "/v1/jobs", `{"class":"urgent","shape":{"tasks":1,"accelerators_per_task":9,"adjacent":"any"}}`, nil, result.ImpossibleShape, "no worker has more than 8"},
	{"gang that fits no rack", "POST", "/v1/jobs", `{"class":"urgent","shape":{"tasks":4,"accelerators_per_task":8,"adjacent":"rack"}}`, nil, result.ImpossibleShape, "at most 3 fit"},
	{"job of another team", "POST", "/v1/jobs", `{"team":"b","class":"urgent",` + validShape + `}`, nil, result.Forbidden, "team"},
	{"job of an unknown team", "POST", "/v1/jobs", `{"team":"nobody","class":"urgent",` + validShape + `}`, asOperator, result.UnknownTeam, "nobody"},
	{"status of another team's job", "GET", "/v1/jobs/j", "", []string{"Authorization", "Bearer token of team b"}, result.Forbidden, "another team"},
	{"list with a bad limit", "GET", "/v1/jobs?limit=0", "", nil, result.BadRequest, "limit"},
	{"cancellation without ids", "POST", "/v1/jobs:cancel", `{"ids":[]}`, nil, result.BadRequest, "ids"},
	{"cancellation of an unknown job", "DELETE", "/v1/jobs/unknown-1", "", nil, result.UnknownJob, "unknown-1"},
	{"configuration with a team's token", "GET", "/v1/config", "", nil, result.Forbidden, "operator"},
	{"patch on another version", "POST", "/v1/config/patch", `{"id":"p","base_version":7,"type":"merge-patch","patch":{}}`, asOperator, result.WrongBaseVersion, "1"},
	{"order on an unknown worker", "POST", "/v1/workers/gone/drain", "", asOperator, result.UnknownWorker, "gone"},
}

var _ = ginkgo.Describe("invalid input", func() {
	for _, row := range invalidInputs {
		// Guards against invalid input that is accepted, or refused without the right
		// code and a message that names what to change, or passed on to an agent or the
		// planner.
		ginkgo.It(row.name, func() {
			agents := startAgents(3, 3, answer)
			g := startGateway(agents)
			g.started = g.started.Add(-2 * joinGracePeriod)
			r := g.call(row.method, row.path, row.body, row.header...)
			var body errorBody
			if row.code != result.WrongBaseVersion {
				expectRefusal(r, row.code)
			} else {
				Expect(r.code).To(HavePrefix("600 "))
				Expect(r.status).To(Equal(http.StatusConflict))
			}
			Expect(decodeIgnoringUnknown(r.body, &body)).To(Succeed())
			Expect(body.Message).To(ContainSubstring(row.messagePart))
			Expect(agents.runs.Load()).To(BeZero())
			Expect(g.jobs.submitted).To(BeEmpty())
		})
	}

	// Guards against a path that is not registered or answers with another status.
	ginkgo.It("serves every path of the API", func() {
		g := startGateway(startAgents(3, 3, answer))
		g.started = g.started.Add(-2 * joinGracePeriod)
		r := g.call("POST", "/v1/jobs", `{"class":"urgent",`+validShape+`}`)
		Expect(r.status).To(Equal(http.StatusAccepted), r.body)
		Expect(g.jobs.submitted).To(HaveLen(1))
		Expect(g.jobs.submitted[0].Team).To(Equal("a"))
		Expect(g.jobs.submitted[0].ID).NotTo(BeEmpty())
		for path, status := range map[string]int{
			"GET /v1/jobs": 200, "GET /v1/jobs/j": 200, "GET /v1/jobs/j/explain": 200, "DELETE /v1/jobs/j": 202,
			"GET /v1/config": 200, "GET /v1/config/status": 200, "GET /v1/workers": 200, "GET /v1/status": 200,
			"POST /v1/workers/w1/drain": 200, "POST /v1/workers/w1/quarantine": 200, "POST /v1/workers/w1/release": 200,
			"GET /debug/state": 200, "GET /debug/vars": 200, "GET /healthz": 200,
		} {
			method, target, _ := strings.Cut(path, " ")
			Expect(g.call(method, target, "", asOperator...).status).To(Equal(status), path)
		}
		r = g.call("POST", "/v1/jobs:cancel", `{"ids":["j1","unknown-2"]}`)
		Expect(r.status).To(Equal(http.StatusAccepted))
		Expect(r.body).To(ContainSubstring(`"id":"unknown-2","code":208`))
	})

	ginkgo.It("does not reveal token hashes in the state dump", func() {
		g := startGateway(startAgents(1, 1, answer))
		Expect(g.call("GET", "/debug/state", "").body).NotTo(ContainSubstring(hashOf(teamToken)))
	})
})
