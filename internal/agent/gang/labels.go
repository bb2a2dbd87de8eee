package gang

import (
	"encoding/json"
	"strconv"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

// Task labels from which a successor process restores a gang.
const (
	labelJob     = "snipegw.job"
	labelAttempt = "snipegw.attempt"
	labelRank    = "snipegw.rank"
	labelMembers = "snipegw.members"
	labelSpec    = "snipegw.spec"
	labelResume  = "snipegw.resume_ms"
)

// Bounds on the members of a gang and on a task label.
const (
	maxMembers    = 1024
	maxLabelBytes = 1 << 20
)

// taskIdentity is the content of the labels of a task.
type taskIdentity struct {
	spec     model.Job
	attempt  uint64
	rank     int
	members  []wire.Member
	resumeMS int64
}

func encodeLabels(id taskIdentity) (map[string]string, error) {
	members, err := json.Marshal(id.members)
	if err != nil {
		return nil, err
	}
	spec, err := json.Marshal(id.spec)
	if err != nil {
		return nil, err
	}
	return map[string]string{
		labelJob:     id.spec.ID,
		labelAttempt: strconv.FormatUint(id.attempt, 10),
		labelRank:    strconv.Itoa(id.rank),
		labelMembers: string(members),
		labelSpec:    string(spec),
		labelResume:  strconv.FormatInt(id.resumeMS, 10),
	}, nil
}

// decodeLabels parses and checks the labels of a task. The error has the code
// BadRequest.
func decodeLabels(labels map[string]string) (taskIdentity, error) {
	var id taskIdentity
	if len(labels[labelMembers]) > maxLabelBytes || len(labels[labelSpec]) > maxLabelBytes {
		return id, result.Errorf(result.BadRequest, "the members or spec label of a task exceeds %d bytes", maxLabelBytes)
	}
	var err error
	if id.attempt, err = strconv.ParseUint(labels[labelAttempt], 10, 64); err != nil || id.attempt == 0 {
		return id, result.Errorf(result.BadRequest, "label %s: must be an integer of at least 1", labelAttempt)
	}
	if id.rank, err = strconv.Atoi(labels[labelRank]); err != nil || id.rank < 0 {
		return id, result.Errorf(result.BadRequest, "label %s: must be an integer of at least 0", labelRank)
	}
	if id.resumeMS, err = strconv.ParseInt(labels[labelResume], 10, 64); err != nil {
		return id, result.Errorf(result.BadRequest, "label %s: must be an integer (milliseconds)", labelResume)
	}
	if err := json.Unmarshal([]byte(labels[labelSpec]), &id.spec); err != nil {
		return id, result.Errorf(result.BadRequest, "label %s: %w", labelSpec, err)
	}
	if id.spec.ID == "" || id.spec.ID != labels[labelJob] {
		return id, result.Errorf(result.BadRequest, "labels %s and %s must hold the same job id", labelJob, labelSpec)
	}
	if err := json.Unmarshal([]byte(labels[labelMembers]), &id.members); err != nil {
		return id, result.Errorf(result.BadRequest, "label %s: %w", labelMembers, err)
	}
	return id, checkMembers(id.members)
}

// checkMembers checks that workers and ranks are complete and unique. The error
// has the code BadRequest.
func checkMembers(members []wire.Member) error {
	if len(members) == 0 || len(members) > maxMembers {
		return result.Errorf(result.BadRequest, "gang has %d members, must have 1 to %d", len(members), maxMembers)
	}
	workers := make(map[string]bool, len(members))
	ranks := make(map[int]bool)
	for _, m := range members {
		if m.Worker == "" || m.Address == "" || len(m.Ranks) == 0 || workers[m.Worker] {
			return result.Errorf(result.BadRequest, "member %q has no worker id, address or ranks, or is listed twice", m.Worker)
		}
		workers[m.Worker] = true
		for _, rank := range m.Ranks {
			if rank < 0 || ranks[rank] {
				return result.Errorf(result.BadRequest, "rank %d is negative or listed twice", rank)
			}
			ranks[rank] = true
		}
	}
	return nil
}

func taskID(job string, attempt uint64, rank int) string {
	return job + "/" + strconv.FormatUint(attempt, 10) + "/" + strconv.Itoa(rank)
}

// hasEnded reports whether a task in this state holds no resources any more.
func hasEnded(state workerapi.TaskState) bool { return state != workerapi.TaskRunning }
