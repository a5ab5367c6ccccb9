package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/control"
	"chervilusher.dev/standin/pkg/task"
)

// Bounds of one request.
const (
	maxBodyBytes = 4 << 20
	maxWait      = time.Minute
)

func (w *Worker) takeLease(out http.ResponseWriter, r *http.Request) {
	var request platform.LeaseRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	lease, granted := w.leases.take(request)
	w.answerLease(out, lease, granted)
}

func (w *Worker) giveBackLease(out http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseInt(r.PathValue("fence"), 10, 64)
	if err != nil {
		http.Error(out, "the fence is not a number", http.StatusBadRequest)
		return
	}
	lease, ended := w.leases.giveBack(fence)
	w.answerLease(out, lease, ended)
}

func (w *Worker) answerLease(out http.ResponseWriter, lease platform.Lease, ok bool) {
	w.loseAnswer()
	if !ok {
		control.WriteJSON(out, http.StatusConflict, lease)
		return
	}
	control.WriteJSON(out, http.StatusOK, lease)
}

// start runs a task for the lease's holder and waits for its end as long as the request asks.
func (w *Worker) start(out http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	out.Header().Set(platform.HeaderTask, id)
	var start platform.TaskStart
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&start); err != nil {
		w.refuse(out, http.StatusBadRequest, err.Error())
		return
	}
	payload, err := task.ParsePayload(start.Payload)
	if err != nil {
		w.refuse(out, http.StatusBadRequest, err.Error())
		return
	}
	if !w.leases.valid(start.Fence) {
		w.refuse(out, http.StatusConflict, "the fence is not of the lease in force")
		return
	}
	if !w.room.take(start) {
		w.refuse(out, http.StatusServiceUnavailable, "no room")
		return
	}
	run, ok := w.ledger.Start(id, w.plan(start, payload))
	if !ok {
		w.room.free(start)
		w.refuse(out, http.StatusGone, "the task was withdrawn")
		return
	}
	w.settings.Recorder.Note(start.Owner, payload.Echo)
	w.answer(out, r, run)
}

func (w *Worker) plan(start platform.TaskStart, payload task.Payload) task.Plan {
	return w.faults.Get().Plan(payload, w.settings.Name, w.settings.Speed, func() { w.room.free(start) })
}

func (w *Worker) status(out http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	out.Header().Set(platform.HeaderTask, id)
	if run := w.ledger.Find(id); run != nil {
		w.answer(out, r, run)
		return
	}
	w.loseAnswer()
	control.WriteJSON(out, http.StatusOK, w.ledger.Status(id))
}

func (w *Worker) withdraw(out http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	status := w.ledger.Bury(id)
	w.loseAnswer()
	out.Header().Set(platform.HeaderTask, id)
	control.WriteJSON(out, http.StatusOK, status)
}

// checkpoint answers with the task's state; the pretended work has nothing to save.
func (w *Worker) checkpoint(out http.ResponseWriter, r *http.Request) {
	w.loseAnswer()
	control.WriteJSON(out, http.StatusOK, w.ledger.Status(r.PathValue("id")))
}

func (w *Worker) throttle(out http.ResponseWriter, r *http.Request) {
	var throttle platform.Throttle
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&throttle); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	if throttle.Share < 0 || throttle.Share > 1 {
		http.Error(out, "the share is not between 0 and 1", http.StatusBadRequest)
		return
	}
	id := r.PathValue("id")
	if run := w.ledger.Find(id); run != nil {
		run.Throttle(throttle.Share)
	}
	w.loseAnswer()
	control.WriteJSON(out, http.StatusOK, w.ledger.Status(id))
}

// answer waits for the task's end as long as the request asks and tells where the task stands.
func (w *Worker) answer(out http.ResponseWriter, r *http.Request, run *task.Run) {
	if wait, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil && wait > 0 {
		timer := w.clock.NewTimer(min(wait, maxWait))
		defer timer.Stop()
		select {
		case <-run.Done():
		case <-timer.Chan():
		case <-r.Context().Done():
			return
		}
	}
	faults := w.faults.Get()
	if faults.Delay > 0 && !control.Sleep(r.Context(), w.clock, faults.Delay) {
		return
	}
	w.loseAnswer()
	status := run.Status()
	if w.draw.Hit(faults.Crossed) {
		status.Task = "of-another-task"
		out.Header().Set(platform.HeaderTask, status.Task)
	}
	if status.State != platform.TaskRunning {
		w.answered.Add(1)
	}
	control.WriteJSON(out, http.StatusOK, status)
}

func (w *Worker) loseAnswer() {
	if w.draw.Hit(w.faults.Get().Lost) {
		w.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
}

func (w *Worker) refuse(out http.ResponseWriter, code int, reason string) {
	w.refused.Add(1)
	out.Header().Set(platform.HeaderRan, "no")
	http.Error(out, reason, code)
}
