package main

import (
	"fmt"
	"os"
	"time"

	"chervilusher.dev/lib/configuration"
)

// Environment variables that hold the office's tokens; the document carries their hashes alone.
const (
	callerVariable   = "HOKKAIDO_CALLER_TOKEN"
	operatorVariable = "HOKKAIDO_OPERATOR_TOKEN"
)

func main() {
	if err := office(os.Getenv(callerVariable), os.Getenv(operatorVariable)).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hokkaido:", err)
		os.Exit(2)
	}
}

// office describes the order desk: three urgent kinds of request to its minions, and jobs for its workers.
func office(callerToken, operatorToken string) *configuration.Builder {
	builder := configuration.NewBuilder("hokkaido")
	builder.Weight(1)
	builder.Quota(20_000, 0)
	builder.Token("clerks", configuration.RoleCaller, callerToken)
	builder.Token("operators", configuration.RoleOperator, operatorToken)

	builder.Place("center", "sapporo")
	builder.Place("north", "asahikawa")
	builder.Place("south", "hakodate")

	desk := builder.Service("desk", "hokkaido-desk", configuration.ServiceOptions{
		Deadline:   10 * time.Second,
		Timeout:    30 * time.Second,
		Tombstones: true,
	})
	planning := builder.Pool("planning", "hokkaido-workers", configuration.PoolOptions{
		Deadline: time.Minute,
		Timeout:  2 * time.Minute,
	})

	builder.ServiceObjective("prompt", desk, configuration.Goal{Latency: time.Second, Target: 0.99})
	builder.ServiceObjective("answered", desk, configuration.Goal{Target: 0.999})
	builder.PoolObjective("planned", planning, configuration.Goal{Latency: 10 * time.Second, Target: 0.99})
	return builder
}
