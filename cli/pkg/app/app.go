package app

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"

	"github.com/alexflint/go-arg"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/cli/pkg/output"
)

// program is the name that help and errors show.
const program = "chervilusher"

// app holds what every command needs.
type app struct {
	stdin   io.Reader
	printer *output.Printer
	http    *http.Client
	clock   clockwork.Clock
}

// Main runs the program with the command line's arguments and returns its exit code.
func Main(commandLine []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return run(ctx, commandLine, os.Stdin, os.Stdout, os.Stderr, output.IsTerminal(os.Stderr))
}

func run(ctx context.Context, commandLine []string, stdin io.Reader, stdout, stderr io.Writer, terminal bool) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: program, Out: stderr, Exit: func(int) {}}, &parsed)
	if err != nil {
		output.New(stdout, stderr, false, false).Error(err)
		return exitError
	}
	err = parser.Parse(commandLine)
	printer := output.New(stdout, stderr, parsed.JSON, terminal)
	if errors.Is(err, arg.ErrHelp) {
		return help(parser, stdout)
	}
	if err == nil && parser.Subcommand() == nil {
		err = errors.New("no command is given; see `chervilusher --help`")
	}
	if err != nil {
		printer.Error(err)
		return exitUsage
	}
	httpClient, err := parsed.httpClient()
	if err != nil {
		printer.Error(err)
		return exitUsage
	}
	a := &app{stdin: stdin, printer: printer, http: httpClient, clock: clockwork.NewRealClock()}
	if err := a.dispatch(ctx, &parsed); err != nil {
		printer.Error(err)
		return exitCode(err)
	}
	return exitDone
}

func (a *app) dispatch(ctx context.Context, parsed *arguments) error {
	switch {
	case parsed.Submit != nil:
		return a.submit(ctx, parsed.Submit)
	case parsed.Request != nil:
		return a.request(ctx, parsed.Request)
	case parsed.Wait != nil:
		return a.wait(ctx, parsed.Wait)
	case parsed.Cancel != nil:
		return a.cancel(ctx, parsed.Cancel)
	case parsed.Ticket != nil:
		return a.ticket(ctx, parsed.Ticket)
	case parsed.Config != nil:
		return a.config(ctx, parsed.Config)
	case parsed.Status != nil:
		return a.status(ctx, parsed.Status)
	case parsed.Evacuate != nil:
		return a.evacuate(ctx, parsed.Evacuate, true)
	case parsed.Takeback != nil:
		return a.evacuate(ctx, parsed.Takeback, false)
	case parsed.Drain != nil:
		return a.drain(ctx, parsed.Drain)
	default:
		return a.burn(ctx, parsed.Burn)
	}
}
