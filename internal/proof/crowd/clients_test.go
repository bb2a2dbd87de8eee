package crowd_test

import (
	"bytes"
	"strings"
	"testing"
)

// Sizes below the limits of one request: headers of 64 kB and 16 kB, bodies of 4 MB, 256 kB and 64 kB.
const (
	requestLines, workflowLines             = 60_000, 15_000
	requestBody, workflowBody, announceBody = 4_000_000, 250_000, 60_000
)

// headerRoles returns clients that send header lines of the given size of each kind, and no body that they
// announce; a quarter of the clients does not end the header.
func headerRoles(method, path, host string, size int) []member {
	var all []member
	for _, lines := range []string{differentLines(size), differentLines(size), equalLines(size/2) + foldedLines(size/2)} {
		all = append(all, member{request: append(requestHead(method, path, host, 1, lines), ' '), withheld: 1})
	}
	return append(all, member{request: requestHead(method, path, host, 0, differentLines(size)), withheld: 2})
}

// bodyRoles returns clients that send a body whole and in pieces, and withhold its last byte, and one that ends.
func bodyRoles(path, host string, body []byte) []member {
	request := append(requestHead("POST", path, host, len(body)), body...)
	return []member{{request: request, withheld: 1}, {request: request, withheld: 1, piece: 1 << 10}, {request: request, withheld: 1, piece: 64 << 10}, {request: request}}
}

// chunkRoles returns clients that send a body in large chunks and in chunks of a byte, and withhold its end, and one that
// ends.
func chunkRoles(path, host string, body []byte) []member {
	head := requestHead("POST", path, host, -1)
	large, small := append(bytes.Clone(head), chunked(body, 64<<10)...), append(bytes.Clone(head), chunked(body, 1)...)
	return []member{{request: large, withheld: 6}, {request: small, withheld: 6}, {request: small, withheld: 1}, {request: large}}
}

// job returns a job of about the given size, with a comment in its JSON in the place of a longer specification.
func job(size int) []byte {
	return []byte(`{"steps":[{"count":1,"cpu":100,"estimatedMs":1}]` + strings.Repeat(" ", size) + "}")
}

// Guards against an entry that runs out of memory for header lines of many clients at the HTTP API.
func TestManyHeaderLinesAtTheHTTPAPI(t *testing.T) {
	p := startRequests(t, entryMachine)
	serve(t, p, 800, headerRoles("GET", "/healthz", requestHost, requestLines), 200)
}

// Guards against an entry that runs out of memory for large bodies that stop just short of their end at the HTTP API.
func TestUnfinishedBodiesAtTheHTTPAPI(t *testing.T) {
	p := startRequests(t, entryMachine)
	serve(t, p, 3000, bodyRoles(requestPath, requestHost, make([]byte, requestBody)), 200)
}

// Guards against an entry that runs out of memory for chunked bodies that do not end at the HTTP API.
func TestUnfinishedChunksAtTheHTTPAPI(t *testing.T) {
	p := startRequests(t, entryMachine)
	serve(t, p, 3000, chunkRoles(requestPath, requestHost, make([]byte, 200_000)), 200)
}

// Guards against an entry that runs out of memory for header lines of many callers of workflows.
func TestManyHeaderLinesOfCallersOfWorkflows(t *testing.T) {
	p, _ := startWorkflows(t, entryMachine, agentMachine)
	serve(t, p, 3000, headerRoles("GET", "/batch/", workflowHost, workflowLines), 200)
}

// Guards against an entry that runs out of memory for jobs that stop just short of their end.
func TestUnfinishedJobs(t *testing.T) {
	p, _ := startWorkflows(t, entryMachine, agentMachine)
	serve(t, p, 3000, bodyRoles("/batch/00000000000000a1", workflowHost, job(workflowBody)), 200)
}

// Guards against an entry that runs out of memory for jobs in chunks that do not end.
func TestUnfinishedChunksOfJobs(t *testing.T) {
	p, _ := startWorkflows(t, entryMachine, agentMachine)
	serve(t, p, 3000, chunkRoles("/batch/00000000000000a1", workflowHost, job(workflowBody)), 200)
}

// Guards against an entry that runs out of memory as it decodes jobs of more steps than a job may have.
func TestJobsOfVeryManySteps(t *testing.T) {
	p, _ := startWorkflows(t, entryMachine, agentMachine)
	body := []byte(`{"steps":[{}` + strings.Repeat(",{}", workflowBody/3) + "]}")
	serve(t, p, 600, []member{{request: append(requestHead("POST", "/batch/00000000000000a1", workflowHost, len(body)), body...)}}, 400)
}

// Guards against an agent that runs out of memory for header lines of many senders of announcements.
func TestManyHeaderLinesAtTheAgent(t *testing.T) {
	_, p := startWorkflows(t, entryMachine, agentMachine)
	serve(t, p, 2000, headerRoles("POST", announcePath, "agent", workflowLines), 200)
}

// Guards against an agent that runs out of memory for announcements that stop just short of their end.
func TestUnfinishedAnnouncements(t *testing.T) {
	_, p := startWorkflows(t, entryMachine, agentMachine)
	path := "/api/Instances.Heartbeat/unknown"
	body := bytes.Repeat([]byte(" "), announceBody)
	serve(t, p, 3000, append(bodyRoles(path, "agent", body), chunkRoles(path, "agent", body)...), 400)
}

// Guards against an entry whose descriptors are used up by unfinished requests.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	m := entryMachine
	m.descriptors = 1024
	p, _ := startWorkflows(t, m, agentMachine)
	serve(t, p, 1500, bodyRoles("/batch/00000000000000a1", workflowHost, job(100)), 200)
}
