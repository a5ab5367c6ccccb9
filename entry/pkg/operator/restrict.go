package operator

import (
	"slices"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
)

// restrict takes out of a status what does not concern the owner of the document.
func restrict(status *api.Status, document *configuration.Document) {
	groups := map[string]bool{}
	owner := ""
	if document != nil {
		owner = document.Owner
		for _, service := range document.Services {
			groups[service.Group] = true
		}
		for _, pool := range document.Pools {
			groups[pool.Group] = true
		}
	}
	status.Minions = slices.DeleteFunc(status.Minions, func(minion api.MinionStatus) bool { return !groups[minion.Group] })
	status.Workers = slices.DeleteFunc(status.Workers, func(worker api.WorkerStatus) bool { return !groups[worker.Group] })
	status.Queues = slices.DeleteFunc(status.Queues, func(queue api.QueueStatus) bool { return queue.Owner != owner })
	status.Owners = slices.DeleteFunc(status.Owners, func(one api.OwnerStatus) bool { return one.Owner != owner })
}
