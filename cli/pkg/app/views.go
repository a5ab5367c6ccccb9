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
	"hosts":       hostsView,
	"minions":     minionsView,
	"workers":     workersView,
	"queues":      queuesView,
	"owners":      ownersView,
	"evacuations": evacuationsView,
}

func hostsView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: []string{"HOST", "PLACE", "ADDRESS", "SIZE", "READY", "INCARNATION"}}
	for _, host := range status.Hosts {
		table.Rows = append(table.Rows, []string{
			host.Name, host.Place, host.Address, strconv.Itoa(host.Size), string(host.Ready), host.Incarnation,
		})
	}
	return status.Hosts, table
}

var backendHeading = []string{"PLACE", "GROUP", "KEEPER", "READY", "SLOTS", "GRANTED", "USED", "FAILING", "SLOW"}

func minionsView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: append([]string{"MINION"}, backendHeading...)}
	for _, minion := range status.Minions {
		table.Rows = append(table.Rows, backendCells(&minion.BackendStatus))
	}
	return status.Minions, table
}

func workersView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: append(append([]string{"WORKER"}, backendHeading...), "RACK", "CORES", "FENCE")}
	for _, worker := range status.Workers {
		cells := append(backendCells(&worker.BackendStatus), worker.Rack, formatShare(worker.Cores), formatCount(worker.Fence))
		table.Rows = append(table.Rows, cells)
	}
	return status.Workers, table
}

func backendCells(backend *api.BackendStatus) []string {
	return []string{
		backend.Name, backend.Place, backend.Group, backend.Keeper, string(backend.Ready), strconv.Itoa(backend.Slots),
		strconv.Itoa(backend.Granted), strconv.Itoa(backend.Used), formatShare(backend.Failing), formatShare(backend.Slow),
	}
}

func queuesView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: []string{"OWNER", "SERVICE", "POOL", "URGENT", "NORMAL", "LONG", "OLDEST"}}
	for _, queue := range status.Queues {
		table.Rows = append(table.Rows, []string{
			queue.Owner, queue.Service, queue.Pool, strconv.Itoa(queue.Urgent), strconv.Itoa(queue.Normal),
			strconv.Itoa(queue.Long), formatDuration(queue.Oldest),
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

func evacuationsView(status *api.Status) (any, output.Table) {
	table := output.Table{Heading: []string{"DOMAIN", "AUTHOR", "OFFSET"}}
	for _, evacuation := range status.Evacuations {
		table.Rows = append(table.Rows, []string{evacuation.Domain, evacuation.Author, formatCount(evacuation.Offset)})
	}
	return status.Evacuations, table
}

func formatCount(count int64) string {
	return strconv.FormatInt(count, 10)
}

func formatShare(share float64) string {
	return strconv.FormatFloat(share, 'f', 2, 64)
}

func formatDuration(length jsontime.Duration) string {
	if length == 0 {
		return "-"
	}
	return length.Std().Round(time.Millisecond).String()
}
