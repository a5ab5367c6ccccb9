package main

import (
	"fmt"
	"os"
	"time"

	"chervilusher.dev/lib/configuration"
)

// Environment variables that hold the office's tokens; the document carries their hashes alone.
const (
	callerVariable   = "KERLOUAN_CALLER_TOKEN"
	operatorVariable = "KERLOUAN_OPERATOR_TOKEN"
)

func main() {
	if err := office(os.Getenv(callerVariable), os.Getenv(operatorVariable)).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "kerlouan:", err)
		os.Exit(2)
	}
}

// office describes the returns desk; its service "desk" and its place "north" are not those of the other office.
func office(callerToken, operatorToken string) *configuration.Builder {
	builder := configuration.NewBuilder("kerlouan")
	builder.Weight(1)
	builder.Quota(40_000, 0)
	builder.Token("dock", configuration.RoleCaller, callerToken)
	builder.Token("operators", configuration.RoleOperator, operatorToken)

	north := builder.Place("north", "brest")
	builder.Place("east", "rennes")
	south := builder.Place("south", "lorient")

	desk := builder.Service("desk", "kerlouan-sorting", configuration.ServiceOptions{
		Deadline:   15 * time.Second,
		Timeout:    30 * time.Second,
		Tombstones: true,
	})
	grading := builder.Pool("grading", "kerlouan-workers", configuration.PoolOptions{
		Places:   []configuration.PlaceName{north, south},
		Deadline: time.Minute,
		Timeout:  2 * time.Minute,
	})

	builder.ServiceObjective("at-the-van", desk, configuration.Goal{Latency: 2 * time.Second, Target: 0.99})
	builder.ServiceObjective("answered", desk, configuration.Goal{Target: 0.999})
	builder.PoolObjective("graded", grading, configuration.Goal{Latency: 20 * time.Second, Target: 0.99})
	return builder
}
