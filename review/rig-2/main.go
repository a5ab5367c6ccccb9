// Command rig plays the scripts of review/6 to review/10: a store, minions and clients around the project's own hosts.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var scenarios = map[string]func(o *office, trouble bool) error{
	"restarts":   restarts,
	"lostKeeper": lostKeeper,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO FOLDER on|off")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3] != "off"))
}

func play(name, folder string, trouble bool) int {
	scenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return exitNotRun
	}
	scratch, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(scratch) }()
	} else {
		fmt.Println("logs:", scratch)
	}
	o, err := newOffice(scratch, filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer o.close()
	if err := scenario(o, trouble); err != nil {
		o.record("could not run: %s", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	summary := fmt.Sprintf("%d orders, %d without an answer, %d carried out late; answers %v; %d breaches", o.orders, o.lost, o.late, o.answers, len(o.breaches))
	o.note("%s", summary)
	fmt.Println(summary)
	for _, breach := range o.breaches {
		fmt.Println(breach)
	}
	if len(o.breaches) > 0 {
		return exitBroken
	}
	return exitHeld
}
