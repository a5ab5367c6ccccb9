package app

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/program"
	"chervilusher.dev/soak/pkg/yard"
)

// self is the program by the name that its messages begin with.
var self = program.Program{Name: "soak"}

type arguments struct {
	Binary   string        `arg:"--binary,required" help:"the entry program"`
	Previous string        `arg:"--previous" help:"an earlier build, which each host runs until its first start anew"`
	Folder   string        `arg:"--folder" default:"out/soak" help:"for settings and logs, a folder for each seed"`
	Seed     uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds    int           `arg:"--seeds" default:"1" help:"how many seeds, one after the other"`
	Stops    time.Duration `arg:"--stops" default:"15s" help:"of planned stops alone, before the faults; 0 for none"`
	Length   time.Duration `arg:"--length" default:"20s" help:"of the faults of one seed"`
	Gap      time.Duration `arg:"--gap" default:"25ms" help:"mean time between two jobs"`
	Unread   time.Duration `arg:"--unread" default:"1s" help:"mean time between two jobs that a host reads after the reset of their connection; 0 for none"`
	Places   int           `arg:"--places" default:"3"`
	Hosts    int           `arg:"--hosts" default:"2" help:"in each place"`
	Runners  int           `arg:"--runners" default:"4" help:"in each place"`
}

// Main runs soaks and returns the program's exit code.
func Main(args []string) int {
	var parsed arguments
	if code, done := self.Parse(&parsed, args); done {
		return code
	}
	code := program.ExitOK
	for seed := parsed.Seed; seed < parsed.Seed+uint64(parsed.Seeds); seed++ {
		result, err := runSeed(&parsed, seed)
		if err != nil {
			return self.Complain(err)
		}
		fmt.Printf("seed %d: answers beside planned stops %v, beside faults %v, %d breaches\n", seed, result.Planned, result.Outcomes, len(result.Breaches))
		for _, breach := range result.Breaches {
			fmt.Printf("  %s\n", breach)
			code = program.ExitFailed
		}
	}
	return code
}

func runSeed(parsed *arguments, seed uint64) (*Result, error) {
	folder := filepath.Join(parsed.Folder, fmt.Sprint(seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.WithStack(err)
	}
	out, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = out.Close() }()
	return Run(Settings{
		Yard: yard.Settings{
			Binary:   parsed.Binary,
			Previous: parsed.Previous,
			Folder:   folder,
			Places:   parsed.Places,
			Hosts:    parsed.Hosts,
			Runners:  parsed.Runners,
			Seed:     seed,
		},
		Stops:  parsed.Stops,
		Length: parsed.Length,
		Gap:    parsed.Gap,
		Unread: parsed.Unread,
	}, out)
}
