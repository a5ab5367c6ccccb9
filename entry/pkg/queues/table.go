package queues

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Queue routes the jobs of one address to the workers of a group.
type Queue struct {
	Name      string        `json:"name"`
	Host      string        `json:"host"`   // of the request's address, without a port
	Prefix    string        `json:"prefix"` // of the request's path
	Group     string        `json:"group"`  // workers that run its jobs
	Timeout   time.Duration `json:"timeout"`
	Objective time.Duration `json:"objective"` // added to the stretched run time
	Stretch   float64       `json:"stretch"`   // factor on the longest task's run time
	Priority  int           `json:"priority"`  // 0 is the highest
	Attempts  int           `json:"attempts"`  // failed runs of a task before its job fails
}

// Table holds the queues of one version of the configuration; it is immutable after New.
type Table struct {
	Version int64   `json:"version"`
	Queues  []Queue `json:"queues"`

	byHost map[string][]*Queue // longest prefix first
}

// New returns a table of the queues.
func New(version int64, all []Queue) *Table {
	table := &Table{Version: version, Queues: all, byHost: map[string][]*Queue{}}
	for i := range all {
		queue := &all[i]
		host := strings.ToLower(queue.Host)
		table.byHost[host] = append(table.byHost[host], queue)
	}
	for _, queues := range table.byHost {
		slices.SortStableFunc(queues, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table
}

// Find returns the queue of the host with the longest matching path prefix, or nil. The host may have a port.
func (t *Table) Find(host, path string) *Queue {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, queue := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, queue.Prefix) {
			return queue
		}
	}
	return nil
}
