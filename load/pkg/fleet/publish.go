package fleet

import (
	"context"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/logservice"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/load/pkg/experiment"
)

// TargetName is the name under which every owner knows its service or pool.
const TargetName = "desk"

// Token returns the bearer token of an experiment's owner.
func Token(owner string) string {
	return "token-of-" + owner
}

// publish appends an owner's configuration to the log.
func publish(ctx context.Context, log *logservice.Client, settings *experiment.Settings, owner *experiment.Owner) error {
	group := settings.Group(owner.Group)
	document := &configuration.Document{
		Owner:  owner.Name,
		Weight: owner.Weight,
		Tokens: []configuration.Token{{
			Name: "load",
			Role: configuration.RoleCaller,
			Hash: configuration.HashToken(Token(owner.Name)),
		}},
	}
	if group.Role == platform.RoleWorker {
		document.Pools = []configuration.Pool{{Name: TargetName, Group: group.Name}}
	} else {
		document.Services = []configuration.Service{{Name: TargetName, Group: group.Name, Tombstones: true}}
	}
	record := configuration.Record{
		Type:     configuration.RecordPublish,
		Publish:  "experiment-" + owner.Name,
		Author:   "load",
		Document: document,
	}
	_, err := log.Append(ctx, configuration.Stream, record)
	return errors.Wrapf(err, "publish the configuration of %s", owner.Name)
}
