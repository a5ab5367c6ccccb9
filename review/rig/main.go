// Command rig runs one case of the review: the entry program as processes, beside stand-ins of the store and of minions.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// scene is one case; it returns an error if it could not run.
type scene func(r *record, root string, trouble bool) error

var scenes = map[string]scene{
	"cancel":  cancelAfterResend,
	"drains":  failedByDrains,
	"dropped": cancelOnDroppedQueue,
	"rebirth": lateStartAfterRebirth,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: rig CASE ROOT RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	run, ok := scenes[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(2)
	}
	children.endOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %v", os.Args[1], trouble)
	if err := run(r, os.Args[2], trouble); err != nil {
		r.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	if r.broken {
		for _, detail := range r.details {
			fmt.Println(detail)
		}
		os.Exit(1)
	}
	r.line("the rule held")
	fmt.Println("the rule held")
}
