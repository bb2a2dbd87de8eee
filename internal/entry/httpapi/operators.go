package httpapi

import (
	"net/http"
	"sort"

	"snipegw/internal/config"
	"snipegw/internal/connlimit"
	"snipegw/internal/entry/auth"
	"snipegw/internal/members"
	"snipegw/internal/result"
)

// workerActions are the actions that an operator can order for a worker.
var workerActions = []string{"drain", "quarantine", "release"}

func (s *Server) handleOperators(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/config", s.operatorOnly(s.getConfig))
	mux.HandleFunc("POST /v1/config/patch", s.operatorOnly(s.patchConfig))
	mux.HandleFunc("GET /v1/config/status", s.authenticated(s.configStatus))
	mux.HandleFunc("GET /v1/workers", s.operatorOnly(s.listWorkers))
	for _, action := range workerActions {
		mux.HandleFunc("POST /v1/workers/{worker}/"+action, s.operatorOnly(s.workerOrder(action)))
	}
	mux.HandleFunc("GET /v1/status", s.authenticated(s.regionStatus))
}

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request, _ auth.Identity) error {
	document := s.Config.Document()
	if len(document) == 0 {
		return result.Errorf(result.ConfigVersionUnknown, "this entry has no configuration yet; retry later")
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document)
	return nil
}

func (s *Server) patchConfig(w http.ResponseWriter, r *http.Request, _ auth.Identity) error {
	var patch config.PatchRequest
	if err := readJSON(w, r, &patch); err != nil {
		return err
	}
	res, err := s.Config.Patch(r.Context(), patch)
	if err != nil {
		res.Code = result.CodeOf(err)
		res.Message = result.MessageOf(err)
		setCode(w.Header(), res.Code)
	}
	info := res.Code.Info()
	res.Name = info.Name
	writeJSON(w, info.Status, struct {
		config.PatchResult
		Ran    result.Ran `json:"ran"`
		Action string     `json:"action"`
	}{res, info.Ran, info.Action})
	return nil
}

func (s *Server) configVersion() uint64 {
	if c := s.Config.Current(); c != nil {
		return c.Version
	}
	return 0
}

func (s *Server) configStatus(w http.ResponseWriter, _ *http.Request, _ auth.Identity) error {
	writeJSON(w, http.StatusOK, config.InForce(s.Members.View(), s.configVersion()))
	return nil
}

func (s *Server) listWorkers(w http.ResponseWriter, _ *http.Request, _ auth.Identity) error {
	view := s.Members.View()
	list := make([]*members.Worker, 0, len(view.Workers))
	for _, worker := range view.Workers {
		list = append(list, worker)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].State.Worker.ID < list[j].State.Worker.ID })
	writeJSON(w, http.StatusOK, map[string]any{"workers": list})
	return nil
}

func (s *Server) workerOrder(action string) authenticatedHandler {
	return func(w http.ResponseWriter, r *http.Request, _ auth.Identity) error {
		worker := r.PathValue("worker")
		if s.Members.View().Workers[worker] == nil {
			return result.Errorf(result.UnknownWorker, "no worker %.64q is known; GET /v1/workers lists them", worker)
		}
		if err := connlimit.Keep(r.Context()); err != nil {
			return err
		}
		if err := s.Jobs.WorkerOrder(r.Context(), worker, action); err != nil {
			return err
		}
		writeJSON(w, http.StatusOK, map[string]string{"worker": worker, "action": action})
		return nil
	}
}

// serviceStatus is the status of one service in the response of regionStatus.
type serviceStatus struct {
	Workers  int   `json:"workers"`
	Slots    int   `json:"slots"`
	InFlight int64 `json:"in_flight"`
	Waiting  int64 `json:"waiting"`
}

// regionStatus serves GET /v1/status. If the planner does not answer, the response
// has the field planner_error instead of jobs and guarantees_not_packed.
func (s *Server) regionStatus(w http.ResponseWriter, r *http.Request, caller auth.Identity) error {
	view := s.Members.View()
	out := map[string]any{
		"config":   config.InForce(view, s.configVersion()),
		"entries":  view.Entries,
		"workers":  workerCounts(view),
		"services": s.serviceStatuses(view),
	}
	if p, ok := view.Planner(); ok {
		out["planner"] = map[string]any{"entry": p.Info.ID, "epoch": p.PlannerEpoch}
	}
	if reply, err := s.Jobs.List(r.Context(), caller.Team, maxListLimit); err != nil {
		out["planner_error"] = err.Error()
	} else {
		states := make(map[string]int)
		for _, j := range reply.Jobs {
			states[string(j.State)]++
		}
		out["jobs"] = states
		out["guarantees_not_packed"] = reply.UnpackedTeams
	}
	writeJSON(w, http.StatusOK, out)
	return nil
}

// workerCounts counts the workers of the view by health and state.
func workerCounts(v *members.View) map[string]int {
	counts := map[string]int{"total": len(v.Workers)}
	for _, w := range v.Workers {
		counts[string(w.Health)]++
		if w.State.Draining {
			counts["draining"]++
		}
		if w.State.Quarantined {
			counts["quarantined"]++
		}
	}
	return counts
}

// serviceStatuses returns the workers and slots of each service in the view, and the
// requests of this entry in progress and waiting.
func (s *Server) serviceStatuses(v *members.View) map[string]serviceStatus {
	out := make(map[string]serviceStatus)
	for _, w := range v.Workers {
		for _, st := range w.State.Services {
			sum := out[st.Service]
			if w.Health == members.Alive && st.Healthy && !st.Leaving {
				sum.Workers++
				sum.Slots += st.Slots
			}
			out[st.Service] = sum
		}
	}
	for name, c := range s.Forwarder.Router.Counts() {
		sum := out[name]
		sum.InFlight = c.Limiter.InFlight
		sum.Waiting = c.Limiter.Waiting
		out[name] = sum
	}
	return out
}
