// Command rig-3 plays one scene of the review on loopback: the project's program on some hosts, with stand-ins for the store,
// the minions and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a scene.
const (
	held = iota
	broken
	unplayed
)

var scenes = map[string]func(record *record, folder string, trouble bool) (bool, error){
	"cancel-in-cut": cancelInCut,
	"chaos":         chaos,
	"late-start":    lateStart,
}

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 SCENE RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(unplayed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(scene, path string) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	defer func() { _ = out.Close() }()
	folder, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	signal.Ignore(syscall.SIGPIPE)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-ended
		killAll()
		_ = os.RemoveAll(folder)
		os.Exit(unplayed)
	}()
	log := &record{out: out, began: time.Now()}
	isBroken, err := scenes[scene](log, folder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.note("the scene could not be played: %v", err)
		return unplayed
	case isBroken:
		log.note("BROKEN")
		return broken
	}
	log.note("held")
	return held
}
