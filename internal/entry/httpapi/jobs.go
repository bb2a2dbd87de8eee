package httpapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"snipegw/internal/connlimit"
	"snipegw/internal/entry/admission"
	"snipegw/internal/entry/auth"
	"snipegw/internal/jsonlist"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

const (
	// maxCancelIDs is the maximum number of jobs in one bulk cancellation.
	maxCancelIDs = 10_000
	// defaultListLimit and maxListLimit are the default and maximum number of jobs in
	// one list.
	defaultListLimit = 100
	maxListLimit     = 10_000
)

func (s *Server) handleJobs(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", s.authenticated(s.submitJob))
	mux.HandleFunc("GET /v1/jobs", s.authenticated(s.listJobs))
	mux.HandleFunc("POST /v1/jobs:cancel", s.authenticated(s.cancelJobs))
	mux.HandleFunc("GET /v1/jobs/{job}", s.authenticated(s.jobStatus))
	mux.HandleFunc("DELETE /v1/jobs/{job}", s.authenticated(s.cancelJob))
	mux.HandleFunc("GET /v1/jobs/{job}/explain", s.authenticated(s.explainJob))
}

// cancelIDs are the ids of a bulk cancellation, at most one more than it may have.
type cancelIDs []string

// UnmarshalJSON implements json.Unmarshaler.
func (c *cancelIDs) UnmarshalJSON(data []byte) (err error) {
	*c, err = jsonlist.Decode[string](data, maxCancelIDs, nil)
	return err
}

// submitJob serves POST /v1/jobs. With a team's token the job belongs to that team; an
// operator names the team in the job.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
	var job model.Job
	if err := readJSON(w, r, &job); err != nil {
		return err
	}
	if !caller.Operator {
		if job.Team != "" && job.Team != caller.Team {
			return result.Errorf(result.Forbidden, "the job names team %.64q and the token belongs to team %s; leave the field out or use a token of that team", job.Team, caller.Team)
		}
		job.Team = caller.Team
	}
	if _, err := s.teams.Get(job.Team); err != nil {
		return err
	}
	if job.ID == "" {
		job.ID = "job-" + s.ids.newID()
	}
	if err := admission.CheckJob(&job); err != nil {
		return err
	}
	if time.Since(s.started) > joinGracePeriod {
		if err := admission.CheckFits(&job, s.Members.View()); err != nil {
			return err
		}
	}
	job.SubmittedMS = time.Now().UnixMilli()
	status, err := s.Jobs.Submit(r.Context(), job)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusAccepted, status)
	return nil
}

// visibleJob returns the status of the job in the path. It fails with
// result.Forbidden if the job belongs to another team than the caller.
func (s *Server) visibleJob(r *http.Request, caller auth.Identity) (model.JobStatus, error) {
	id := r.PathValue("job")
	if err := admission.CheckID(id); err != nil {
		return model.JobStatus{}, err
	}
	status, err := s.Jobs.Status(r.Context(), id)
	if err != nil {
		return model.JobStatus{}, err
	}
	if !caller.Operator && status.Job.Team != caller.Team {
		return model.JobStatus{}, result.Errorf(result.Forbidden, "the job %s belongs to another team", id)
	}
	return status, nil
}

func (s *Server) jobStatus(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
	status, err := s.visibleJob(r, caller)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

func (s *Server) explainJob(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
	status, err := s.visibleJob(r, caller)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"job": status.Job.ID, "state": status.State, "attempt": status.Attempt,
		"workers": status.Workers, "reason": status.Reason,
	})
	return nil
}

func (s *Server) listJobs(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
	limit := defaultListLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxListLimit {
			return result.Errorf(result.BadRequest, "the parameter limit is %.40q and must be a whole number from 1 to %d", text, maxListLimit)
		}
		limit = n
	}
	reply, err := s.Jobs.List(r.Context(), caller.Team, limit)
	if err != nil {
		return err
	}
	if reply.Jobs == nil {
		reply.Jobs = []model.JobStatus{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"jobs": reply.Jobs, "unpacked": reply.UnpackedTeams, "epoch": reply.Epoch})
	return nil
}

// cancelResult is the result for one job of a cancellation.
type cancelResult struct {
	ID   string      `json:"id"`
	Code result.Code `json:"code"`
	Name string      `json:"name"`
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
	id := r.PathValue("job")
	if err := admission.CheckID(id); err != nil {
		return err
	}
	codes, err := s.cancelIDs(r, []string{id}, caller)
	if err != nil {
		return err
	}
	switch codes[0] {
	case result.OK, result.Accepted:
		writeJSON(w, codes[0].Info().Status, cancelResult{ID: id, Code: codes[0], Name: codes[0].String()})
		return nil
	}
	return result.Errorf(codes[0], "the job %s was not cancelled: %s", id, strings.ReplaceAll(codes[0].String(), "_", " "))
}

// cancelIDs asks the planner to cancel jobs and returns one code for each of them.
func (s *Server) cancelIDs(r *http.Request, ids []string, caller auth.Identity) ([]result.Code, error) {
	if err := connlimit.Keep(r.Context()); err != nil {
		return nil, err
	}
	codes, err := s.Jobs.Cancel(r.Context(), ids, caller.Team)
	if err == nil && len(codes) != len(ids) {
		err = result.Errorf(result.Internal, "the planner returned results for %d of %d jobs to cancel", len(codes), len(ids))
	}
	return codes, err
}

func (s *Server) cancelJobs(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
	var body struct {
		IDs cancelIDs `json:"ids"`
	}
	if err := readJSON(w, r, &body); err != nil {
		return err
	}
	if len(body.IDs) == 0 || len(body.IDs) > maxCancelIDs {
		return result.Errorf(result.BadRequest, "the field ids holds %d ids and must hold 1 to %d", len(body.IDs), maxCancelIDs)
	}
	for _, id := range body.IDs {
		if err := admission.CheckID(id); err != nil {
			return err
		}
	}
	codes, err := s.cancelIDs(r, body.IDs, caller)
	if err != nil {
		return err
	}
	list := make([]cancelResult, len(codes))
	for i, c := range codes {
		list[i] = cancelResult{ID: body.IDs[i], Code: c, Name: c.String()}
	}
	writeJSON(w, http.StatusAccepted, map[string]any{"results": list})
	return nil
}
