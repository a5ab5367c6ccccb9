package operator

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
)

// visitor is a queue that shows its waiting tasks.
type visitor interface {
	Each(visit func(task *blackboard.Task))
}

// queueName names the work of one owner for one service or pool.
type queueName struct {
	owner   string
	service string
	pool    string
}

// addQueues counts the waiting tasks; the dispatch lock is held.
func (s *Server) addQueues(status *api.Status) {
	now := s.common.Clock.Now()
	counted := map[queueName]*api.QueueStatus{}
	for _, group := range s.board.Dispatch.Groups {
		queue, ok := group.Queue.(visitor)
		if !ok {
			continue
		}
		queue.Each(func(task *blackboard.Task) {
			name := queueName{owner: task.Job.Account, service: task.Target.Service, pool: task.Target.Pool}
			if counted[name] == nil {
				counted[name] = &api.QueueStatus{Owner: name.owner, Service: name.service, Pool: name.pool}
			}
			count(counted[name], task, now)
		})
	}
	for _, queue := range counted {
		status.Queues = append(status.Queues, *queue)
	}
}

func count(queue *api.QueueStatus, task *blackboard.Task, now time.Time) {
	if task.Job.Urgent {
		queue.Urgent++
	} else {
		queue.Normal++
	}
	if task.Long {
		queue.Long++
	}
	queue.Oldest = max(queue.Oldest, jsontime.Duration(now.Sub(task.Job.Accepted)))
}
