package app

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/settings"
	"chervilusher.dev/standin/pkg/office"
)

// Exit codes of the program.
const (
	exitOK          = 0
	exitBadSettings = 2
)

// runCommand holds the arguments of "standin run".
type runCommand struct {
	Config string `arg:"--config,required" help:"JSON file with comments that describes the office"`
}

// arguments is the command line.
type arguments struct {
	Run *runCommand `arg:"subcommand:run" help:"run an office of stand-ins until a signal ends it"`
}

// Main runs the program with the command line's arguments and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "standin", Out: stderr}, &parsed)
	if err != nil {
		return fail(stderr, err)
	}
	if err = parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(stdout)
		return exitOK
	}
	if err != nil {
		return fail(stderr, err)
	}
	if parsed.Run == nil {
		return fail(stderr, errors.New("give a command: run"))
	}
	if err = runOffice(ctx, parsed.Run.Config, stdout); err != nil {
		return fail(stderr, err)
	}
	return exitOK
}

func runOffice(ctx context.Context, path string, stdout io.Writer) error {
	var wanted office.Settings
	if err := settings.Load(path, &wanted); err != nil {
		return err
	}
	running, err := office.New(clockwork.NewRealClock(), wanted)
	if err != nil {
		return err
	}
	defer running.Close()
	_, _ = fmt.Fprintf(stdout, "standin: ready: log %s, hosts %s, control %s, %d back ends\n",
		running.Log.Address(), running.Hosts.Address(), running.Control(), len(running.Members))
	<-ctx.Done()
	return nil
}

func fail(stderr io.Writer, err error) int {
	_, _ = fmt.Fprintf(stderr, "standin: %v\n", err)
	return exitBadSettings
}
