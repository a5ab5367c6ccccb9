package program

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Exit codes of all programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2 // the command line, the settings or an address is wrong
)

// Program is one program by the name that its messages begin with.
type Program struct {
	Name string
}

// Parse reads the command line into arguments, a pointer to a struct with go-arg's tags; done says that the program is to end with the code.
func (p Program) Parse(arguments any, args []string) (code int, done bool) {
	parser, err := arg.NewParser(arg.Config{Program: p.Name}, arguments)
	if err != nil {
		return p.Complain(err), true
	}
	if err := parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(os.Stdout)
		return ExitOK, true
	} else if err != nil {
		return p.Complain(err), true
	}
	return ExitOK, false
}

// Complain says what is wrong with the settings, and returns the exit code for it.
func (p Program) Complain(err error) int {
	p.say(err)
	return ExitSettings
}

// Fail says why the program ends, and returns the exit code for it.
func (p Program) Fail(err error) int {
	p.say(err)
	return ExitFailed
}

func (p Program) say(err error) {
	fmt.Fprintf(os.Stderr, "%s: %s\n", p.Name, err)
}
