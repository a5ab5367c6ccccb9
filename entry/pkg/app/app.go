package app

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/lib/program"
)

// self is the program by the name that its messages begin with.
var self = program.Program{Name: "entry"}

// collectorPercent lets the heap grow to five times its live part between collections, since the live part is small.
const collectorPercent = 400

// memoryShare is the part of the allowed memory from which on the collector works harder.
const memoryShare = 0.6

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
	if code, done := self.Parse(&parsed, args); done {
		return code
	}
	if parsed.Settings == "" {
		return self.Complain(errors.New("--settings is missing; name the file with the host's settings"))
	}
	loaded, err := settings.Load(parsed.Settings)
	if err != nil {
		return self.Complain(err)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryShare * float64(loaded.Limits.Memory) * (1 << 20)))
	}
	daemon, err := Listen(loaded, os.Stderr)
	if err != nil {
		return self.Complain(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.Run(ctx); err != nil {
		return self.Fail(err)
	}
	return program.ExitOK
}
