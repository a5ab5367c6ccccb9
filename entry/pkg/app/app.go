package app

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/settings"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2 // the command line, the settings or an address is wrong
)

// collectorPercent lets the heap grow to five times its live part between collections, since the live part is small.
const collectorPercent = 400

type arguments struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings, JSON with comments"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "The entry daemon of chervilusher: takes callers' submissions and dispatches their tasks."
}

// Main runs the daemon until it is told to stop, and returns its exit code.
func Main(args []string) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "entry"}, &parsed)
	if err != nil {
		return complain(err)
	}
	if err := parser.Parse(args); err != nil {
		if errors.Is(err, arg.ErrHelp) {
			parser.WriteHelp(os.Stdout)
			return exitOK
		}
		return complain(err)
	}
	if parsed.Settings == "" {
		return complain(errors.New("--settings is missing; name the file with the host's settings"))
	}
	loaded, err := settings.Load(parsed.Settings)
	if err != nil {
		return complain(err)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	daemon, err := Listen(loaded, os.Stderr)
	if err != nil {
		return complain(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.Run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "entry: %s\n", err)
		return exitFailed
	}
	return exitOK
}

func complain(err error) int {
	fmt.Fprintf(os.Stderr, "entry: %s\n", err)
	return exitSettings
}
