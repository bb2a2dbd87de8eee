package gang

import (
	"encoding/json"
	"strconv"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

// Names of the task labels from which a successor process rebuilds a gang.
const (
	labelJob     = "snipegw.job"
	labelAttempt = "snipegw.attempt"
	labelRank    = "snipegw.rank"
	labelMembers = "snipegw.members"
	labelSpec    = "snipegw.spec"
	labelResume  = "snipegw.resume_ms"
)

// Bounds of a gang.
const (
	maxMembers    = 1024
	maxLabelBytes = 1 << 20
)

// taskIdentity is what the labels of a task say about its gang.
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

func decodeLabels(labels map[string]string) (taskIdentity, error) {
	var id taskIdentity
	if len(labels[labelMembers]) > maxLabelBytes || len(labels[labelSpec]) > maxLabelBytes {
		return id, result.Errorf(result.BadRequest, "a task label exceeds %d bytes", maxLabelBytes)
	}
	var err error
	if id.attempt, err = strconv.ParseUint(labels[labelAttempt], 10, 64); err != nil || id.attempt == 0 {
		return id, result.Errorf(result.BadRequest, "label %s: not a positive number", labelAttempt)
	}
	if id.rank, err = strconv.Atoi(labels[labelRank]); err != nil || id.rank < 0 {
		return id, result.Errorf(result.BadRequest, "label %s: not a number", labelRank)
	}
	if id.resumeMS, err = strconv.ParseInt(labels[labelResume], 10, 64); err != nil {
		return id, result.Errorf(result.BadRequest, "label %s: not a number", labelResume)
	}
	if err := json.Unmarshal([]byte(labels[labelSpec]), &id.spec); err != nil {
		return id, result.Errorf(result.BadRequest, "label %s: %w", labelSpec, err)
	}
	if id.spec.ID == "" || id.spec.ID != labels[labelJob] {
		return id, result.Errorf(result.BadRequest, "labels %s and %s differ", labelJob, labelSpec)
	}
	if err := json.Unmarshal([]byte(labels[labelMembers]), &id.members); err != nil {
		return id, result.Errorf(result.BadRequest, "label %s: %w", labelMembers, err)
	}
	return id, checkMembers(id.members)
}

func checkMembers(members []wire.Member) error {
	if len(members) == 0 || len(members) > maxMembers {
		return result.Errorf(result.BadRequest, "%d members, must be 1 to %d", len(members), maxMembers)
	}
	workers := make(map[string]bool, len(members))
	ranks := make(map[int]bool)
	for _, m := range members {
		if m.Worker == "" || m.Address == "" || len(m.Ranks) == 0 || workers[m.Worker] {
			return result.Errorf(result.BadRequest, "member %q has no address or no ranks, or occurs twice", m.Worker)
		}
		workers[m.Worker] = true
		for _, rank := range m.Ranks {
			if rank < 0 || ranks[rank] {
				return result.Errorf(result.BadRequest, "rank %d is negative or occurs twice", rank)
			}
			ranks[rank] = true
		}
	}
	return nil
}

func taskID(job string, attempt uint64, rank int) string {
	return job + "/" + strconv.FormatUint(attempt, 10) + "/" + strconv.Itoa(rank)
}

// hasEnded reports whether a task holds no resources any more.
func hasEnded(state workerapi.TaskState) bool { return state != workerapi.TaskRunning }
