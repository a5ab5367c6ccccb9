package minion

import (
	"encoding/json"

	"chervilusher.dev/standin/pkg/task"
)

// Plan returns how a task goes under the faults at the back end of that name and speed; free is called once when it ends.
func (f Faults) Plan(payload task.Payload, name string, speed float64, free func()) task.Plan {
	if f.Speed > 0 {
		speed = f.Speed
	}
	plan := task.Plan{
		Length: payload.RunTime(speed),
		Fail:   payload.Fail,
		Hang:   f.Hang,
		Mark:   payload.Mark,
		Free:   free,
	}
	if f.Fail {
		plan.Length = 0
		plan.Fail = "every task fails here"
	}
	plan.Value, _ = json.Marshal(task.Value{Echo: payload.Echo, Minion: name})
	return plan
}
