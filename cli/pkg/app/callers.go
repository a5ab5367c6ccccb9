package app

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"chervilusher.dev/cli/pkg/files"
	"chervilusher.dev/cli/pkg/output"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/client"
	"chervilusher.dev/lib/jsontime"
)

func (a *app) caller(flags callerFlags) (*client.Client, error) {
	token, err := files.Token(flags.Token, flags.TokenFile)
	if err != nil {
		return nil, usage(err)
	}
	if token == "" {
		return nil, usage(errors.New("no token is given; set CHERVILUSHER_TOKEN, --token or --token-file"))
	}
	if len(flags.Entry) == 0 {
		return nil, usage(errors.New("no entry host is given; set CHERVILUSHER_ENTRY or --entry"))
	}
	options := client.Options{Entries: flags.Entry, Token: token, Progress: a.showProgress}
	if a.printer.Terminal() {
		options.Poll = progressInterval
	}
	made, err := client.New(options, a.http, a.clock)
	return made, usage(err)
}

func (a *app) showProgress(answer api.Answer) {
	a.printer.Progress("running: %d of %d tasks ended", answer.Done, answer.Tasks)
}

func (a *app) submit(ctx context.Context, arguments *submitArguments) error {
	submission, err := a.submission(arguments)
	if err != nil {
		return usage(err)
	}
	if (arguments.Key == "") != (arguments.Ticket == "") {
		return usage(errors.New("--key and --ticket go together"))
	}
	caller, err := a.caller(arguments.callerFlags)
	if err != nil {
		return err
	}
	handle := client.Handle{Key: arguments.Key, Ticket: arguments.Ticket}
	if handle.Key == "" && !arguments.Detach {
		return a.printAnswer(caller.Run(ctx, *submission))
	}
	if handle.Key == "" {
		if handle, err = caller.Mint(ctx); err != nil {
			return err
		}
	}
	if arguments.Detach {
		return a.detach(ctx, caller, handle, submission)
	}
	return a.printAnswer(caller.RunAs(ctx, handle, *submission))
}

// detach submits and prints the handle; a lost answer leaves the handle printed, so that the caller can send it again.
func (a *app) detach(ctx context.Context, caller *client.Client, handle client.Handle, submission *api.Submission) error {
	_, err := caller.Submit(ctx, handle, *submission)
	if err != nil && client.Ran(err) == api.RanNo {
		return err
	}
	table := output.Table{Heading: []string{"KEY", "TICKET"}, Rows: [][]string{{handle.Key, handle.Ticket}}}
	if printErr := a.printer.Print(handle, table); printErr != nil {
		return printErr
	}
	return err
}

func (a *app) submission(arguments *submitArguments) (*api.Submission, error) {
	if arguments.File != "" {
		if arguments.Service+arguments.Pool+arguments.Kind != "" {
			return nil, errors.New("give either a file or --service, --pool and --kind")
		}
		var submission api.Submission
		err := files.Parse(arguments.File, a.stdin, &submission)
		return &submission, err
	}
	if arguments.Count < 1 || arguments.Count > api.MaxTasks {
		return nil, errors.Errorf("--count is %d; give 1 to %d", arguments.Count, api.MaxTasks)
	}
	task, err := arguments.task()
	if err != nil {
		return nil, err
	}
	submission := &api.Submission{Urgent: arguments.Urgent, Deadline: jsontime.Duration(arguments.Deadline)}
	for range arguments.Count {
		submission.Tasks = append(submission.Tasks, *task)
	}
	return submission, nil
}

func (w *workFlags) task() (*api.Task, error) {
	if (w.Service == "") == (w.Pool == "") {
		return nil, errors.New("give either --service or --pool")
	}
	if w.Kind == "" {
		return nil, errors.New("--kind is missing; name the kind of work")
	}
	if w.Payload != "" && !json.Valid([]byte(w.Payload)) {
		return nil, errors.New("--payload is not valid JSON; a text needs quotes of its own")
	}
	return &api.Task{
		Service: w.Service, Pool: w.Pool, Kind: w.Kind,
		Payload: json.RawMessage(w.Payload), Declared: jsontime.Duration(w.Declared),
		Need: api.Need{Cores: w.Cores, Memory: w.Memory, Accelerators: w.Accelerators},
	}, nil
}

func (a *app) request(ctx context.Context, arguments *requestArguments) error {
	task, err := arguments.task()
	if err != nil {
		return usage(err)
	}
	caller, err := a.caller(arguments.callerFlags)
	if err != nil {
		return err
	}
	return a.printAnswer(caller.Request(ctx, api.Request{
		Task: *task, Idempotent: arguments.Idempotent, Urgent: arguments.Urgent, Deadline: jsontime.Duration(arguments.Deadline),
	}))
}

func (a *app) wait(ctx context.Context, arguments *handleArguments) error {
	caller, handle, err := a.handle(arguments)
	if err != nil {
		return err
	}
	return a.printAnswer(caller.Wait(ctx, handle))
}

func (a *app) cancel(ctx context.Context, arguments *handleArguments) error {
	caller, handle, err := a.handle(arguments)
	if err != nil {
		return err
	}
	return a.printAnswer(caller.Cancel(ctx, handle))
}

// handle returns the submission that the arguments name, and a client to ask about it.
func (a *app) handle(arguments *handleArguments) (*client.Client, client.Handle, error) {
	handle := client.Handle{Key: arguments.Key, Ticket: arguments.Ticket}
	if handle.Ticket == "" {
		return nil, handle, usage(errors.New("--ticket is missing; give the ticket that was printed with the key"))
	}
	caller, err := a.caller(arguments.callerFlags)
	return caller, handle, err
}

func (a *app) ticket(ctx context.Context, arguments *ticketArguments) error {
	caller, err := a.caller(arguments.callerFlags)
	if err != nil {
		return err
	}
	ticket, err := caller.Ticket(ctx)
	if err != nil {
		return err
	}
	return a.printer.Text(api.Ticket{Ticket: ticket}, ticket)
}

// printAnswer prints an answer, also one that came as an error, and passes the error on for the exit code.
func (a *app) printAnswer(answer *api.Answer, err error) error {
	var refusal *client.Error
	if errors.As(err, &refusal) {
		answer = &refusal.Answer
	}
	if answer == nil {
		return err
	}
	table := output.Table{Heading: []string{"TASK", "VALUE"}}
	for i, result := range answer.Results {
		table.Rows = append(table.Rows, []string{strconv.Itoa(i + 1), string(result.Value)})
	}
	if len(answer.Results) == 0 {
		table = output.Table{
			Heading: []string{"KEY", "STATE", "RAN", "CODE", "RETRY"},
			Rows:    [][]string{{answer.Key, string(answer.State), string(answer.Ran), string(answer.Code), fmt.Sprint(answer.RetryAfter)}},
		}
	}
	if printErr := a.printer.Print(answer, table); printErr != nil {
		return printErr
	}
	return err
}
