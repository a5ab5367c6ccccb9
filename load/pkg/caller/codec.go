package caller

import (
	"encoding/json"
	"net"
	"strconv"
	"syscall"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/load/pkg/fleet"
	"chervilusher.dev/load/pkg/workload"
	"chervilusher.dev/standin/pkg/task"
)

// keyOf returns the idempotency key of a job.
func keyOf(index int) string {
	return "job-" + strconv.Itoa(index)
}

// echoOf returns what a task's back end has to send back, as JSON.
func echoOf(index, task int) json.RawMessage {
	return json.RawMessage(`"` + strconv.Itoa(index) + "/" + strconv.Itoa(task) + `"`)
}

// encode returns the body of a submission.
func encode(index int, job *workload.Job) []byte {
	submission := api.Submission{Urgent: job.Class.Urgent, Deadline: job.Class.Deadline}
	for i, work := range job.Works {
		payload, _ := json.Marshal(task.Payload{Work: jsontime.Duration(work), Echo: echoOf(index, i)})
		wanted := api.Task{Kind: kindOf(job), Payload: payload}
		if job.Role == platform.RoleWorker {
			wanted.Pool = fleet.TargetName
			wanted.Need.Cores = max(job.Class.Cores, 1)
		} else {
			wanted.Service = fleet.TargetName
		}
		if len(job.Declared) > 0 {
			wanted.Declared = jsontime.Duration(job.Declared[i])
		}
		submission.Tasks = append(submission.Tasks, wanted)
	}
	raw, _ := json.Marshal(submission)
	return raw
}

func kindOf(job *workload.Job) string {
	if job.Class.Kind != "" {
		return job.Class.Kind
	}
	return job.Class.Name
}

// read notes the final answer and whether each result is the job's own.
func (c *Caller) read(index int, outcome *Outcome, answer *api.Answer) {
	outcome.State = answer.State
	outcome.Code = answer.Code
	outcome.Ran = answer.Ran
	outcome.RetryAfter = answer.RetryAfter.Std()
	if answer.State != api.StateComplete {
		return
	}
	outcome.Foreign = len(answer.Results) != len(outcome.Job.Works) || answer.Key != keyOf(index)
	for i, result := range answer.Results {
		var value task.Value
		if err := json.Unmarshal(result.Value, &value); err != nil || string(value.Echo) != string(echoOf(index, i)) {
			outcome.Foreign = true
		}
		outcome.Backends = append(outcome.Backends, value.Minion)
	}
}

// differs reports whether two answers to one key contradict each other; no answer contradicts nothing.
func differs(first, second *api.Answer) bool {
	if second == nil || !second.Final() || second.State == api.StateUnknown {
		return false
	}
	if first.State != second.State || len(first.Results) != len(second.Results) {
		return true
	}
	for i := range first.Results {
		if string(first.Results[i].Value) != string(second.Results[i].Value) {
			return true
		}
	}
	return false
}

// refusedConnection reports whether nothing of a request can have left.
func refusedConnection(err error) bool {
	var operation *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &operation) && operation.Op == "dial"
}
