package app

import (
	"strconv"
	"time"

	"chervilusher.dev/cli/pkg/output"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
)

// view picks one part of a status as a value for JSON and as a table.
type view func(*api.Status) (any, output.Table)

var views = map[string]view{
	"hosts":   hostsView,
	"minions": minionsView,
	"workers": workersView,
	"queues":  queuesView,
	"owners":  ownersView,
}

func hostsView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: []string{"HOST", "PLACE", "ADDRESS", "SIZE", "READY", "STARTED"}}
	for _, host := range status.Hosts {
		table.Rows = append(table.Rows, []string{
			host.Name, host.Place, host.Address, strconv.Itoa(host.Size), string(host.Ready), formatTime(host.Started),
		})
	}
	return status.Hosts, table
}

func minionsView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: []string{"MINION", "PLACE", "GROUP", "KEEPER", "READY", "SLOTS", "USED", "STARTED", "FAILED", "EXPECTED"}}
	for _, minion := range status.Minions {
		table.Rows = append(table.Rows, []string{
			minion.Name, minion.Place, minion.Group, minion.Keeper, string(minion.Ready), strconv.Itoa(minion.Slots),
			strconv.Itoa(minion.Used), formatCount(minion.Started), formatCount(minion.Failed), formatDuration(minion.Expected),
		})
	}
	return status.Minions, table
}

func workersView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: []string{"WORKER", "PLACE", "RACK", "GROUP", "KEEPER", "READY", "CORES", "USED", "RUNNING", "STARTED", "FAILED"}}
	for _, worker := range status.Workers {
		table.Rows = append(table.Rows, []string{
			worker.Name, worker.Place, worker.Rack, worker.Group, worker.Keeper, string(worker.Ready),
			formatCores(worker.Cores), formatCores(worker.Used), strconv.Itoa(worker.Running),
			formatCount(worker.Started), formatCount(worker.Failed),
		})
	}
	return status.Workers, table
}

func queuesView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: []string{"OWNER", "SERVICE", "POOL", "URGENT", "NORMAL", "LONG", "RUNNING", "OLDEST"}}
	for _, queue := range status.Queues {
		table.Rows = append(table.Rows, []string{
			queue.Owner, queue.Service, queue.Pool, strconv.Itoa(queue.Urgent), strconv.Itoa(queue.Normal),
			strconv.Itoa(queue.Long), strconv.Itoa(queue.Running), formatDuration(queue.Oldest),
		})
	}
	return status.Queues, table
}

func ownersView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: []string{"OWNER", "VERSION", "WEIGHT", "QUEUED", "RUNNING", "REFUSED"}}
	for _, owner := range status.Owners {
		table.Rows = append(table.Rows, []string{
			owner.Owner, formatCount(owner.Version), strconv.Itoa(owner.Weight), strconv.Itoa(owner.Queued),
			strconv.Itoa(owner.Running), formatCount(owner.Refused),
		})
	}
	return status.Owners, table
}

func formatCount(count int64) string {
	return strconv.FormatInt(count, 10)
}

func formatCores(cores float64) string {
	return strconv.FormatFloat(cores, 'f', 1, 64)
}

func formatDuration(length jsontime.Duration) string {
	if length == 0 {
		return "-"
	}
	return length.Std().Round(time.Millisecond).String()
}
