package app

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chervilusher.dev/load/pkg/measure"
	"chervilusher.dev/load/pkg/report"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// runCommand holds the arguments of "load run".
type runCommand struct {
	Experiment string   `arg:"positional,required" help:"experiment, JSON with comments"`
	Entry      string   `arg:"--entry" default:"bin/entry" help:"program of the entry daemon"`
	Seeds      []uint64 `arg:"--seeds" help:"seeds to run with one after the other, in place of the experiment's"`
	Output     string   `arg:"--output" default:"out" help:"directory of the results"`
	Policy     string   `arg:"--policy" help:"policy settings of the entry hosts as JSON, in place of the experiment's"`
	Lease      string   `arg:"--lease" help:"lease settings of the entry hosts as JSON, in place of the experiment's"`
	Suffix     string   `arg:"--suffix" help:"added to the experiment's name, such as -single-queue"`
	Build      string   `arg:"--build" help:"version of the measured program, for the record"`
}

// compareCommand holds the arguments of "load compare".
type compareCommand struct {
	Results []string `arg:"positional,required" help:"result files"`
	Output  string   `arg:"--output" default:"out/compare.html" help:"page to write"`
}

// referenceCommand holds the arguments of "load reference".
type referenceCommand struct {
	Experiment string   `arg:"positional,required" help:"experiment, JSON with comments"`
	Seeds      []uint64 `arg:"--seeds" help:"seeds, in place of the experiment's"`
}

// arguments is the command line.
type arguments struct {
	Run       *runCommand       `arg:"subcommand:run" help:"run an experiment and write its results"`
	Compare   *compareCommand   `arg:"subcommand:compare" help:"set results side by side"`
	Reference *referenceCommand `arg:"subcommand:reference" help:"compute what ideal dispatchers reach, without a fleet"`
}

// Main runs the program with the command line's arguments and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "load"}, &parsed)
	if err != nil {
		return fail(exitUsage, err)
	}
	if err = parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(os.Stdout)
		return exitOK
	}
	if err != nil {
		return fail(exitUsage, err)
	}
	if err = parsed.execute(ctx, os.Stdout); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

func (a *arguments) execute(ctx context.Context, out io.Writer) error {
	switch {
	case a.Run != nil:
		return a.Run.execute(ctx, out)
	case a.Compare != nil:
		return a.Compare.execute(out)
	case a.Reference != nil:
		return a.Reference.execute(out)
	default:
		return errors.New("give a command: run, compare or reference")
	}
}

func (c *compareCommand) execute(out io.Writer) error {
	runs := make([]*measure.Results, 0, len(c.Results))
	for _, path := range c.Results {
		results, err := report.ReadJSON(path)
		if err != nil {
			return err
		}
		runs = append(runs, results)
	}
	if err := report.WriteHTML(c.Output, runs...); err != nil {
		return err
	}
	return report.WriteText(out, runs...)
}

func fail(code int, err error) int {
	fmt.Fprintf(os.Stderr, "load: %v\n", err)
	return code
}
