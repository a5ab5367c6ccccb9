package app

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chervilusher.dev/cli/pkg/burnpage"
	"chervilusher.dev/cli/pkg/files"
	"chervilusher.dev/cli/pkg/operator"
	"chervilusher.dev/cli/pkg/output"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/burn"
	"chervilusher.dev/lib/configuration"
)

// progressInterval is how often a terminal is shown how far a job is.
const progressInterval = time.Second

// pageMode is the permission of a written report.
const pageMode = 0o644

func (a *app) operator(flags operatorFlags) (*operator.Client, error) {
	token, err := files.Token(flags.Token, flags.TokenFile)
	if err != nil {
		return nil, usage(err)
	}
	if flags.Entry == "" {
		return nil, usage(errors.New("no entry host is given; set CHERVILUSHER_OPERATORS or --entry to its operators' address"))
	}
	host, err := operator.New(flags.Entry, token, a.http)
	return host, usage(err)
}

func (a *app) status(ctx context.Context, arguments *statusArguments) error {
	view, ok := views[arguments.What]
	if !ok {
		return usage(errors.Errorf("%q cannot be shown; give hosts, minions, workers, queues, owners or evacuations", arguments.What))
	}
	host, err := a.operator(arguments.operatorFlags)
	if err != nil {
		return err
	}
	status, err := host.Status(ctx)
	if err != nil {
		return err
	}
	value, table := view(status)
	return a.printer.Print(value, table)
}

// evacuate closes a failure domain to new work, or opens it again.
func (a *app) evacuate(ctx context.Context, arguments *evacuateArguments, evacuated bool) error {
	host, err := a.operator(arguments.operatorFlags)
	if err != nil {
		return err
	}
	identifier := arguments.Again
	if identifier == "" {
		identifier = uuid.NewString()
	}
	change, err := sendAgain(ctx, a.clock, func() (*configuration.Evacuation, error) {
		return host.Evacuate(ctx, arguments.Domain, evacuated, identifier)
	})
	if err != nil {
		return errors.Wrapf(err, "publish %s", identifier)
	}
	text := fmt.Sprintf("failure domain %s is evacuated: it gets nothing new (offset %d)", change.Domain, change.Offset)
	if !evacuated {
		text = fmt.Sprintf("failure domain %s is taken back (offset %d)", change.Domain, change.Offset)
	}
	return a.printer.Text(change, text)
}

func (a *app) drain(ctx context.Context, flags *operatorFlags) error {
	host, err := a.operator(*flags)
	if err != nil {
		return err
	}
	drained, err := host.Drain(ctx)
	if err != nil {
		return err
	}
	return a.printer.Text(drained, fmt.Sprintf("draining: %d submissions are still finished", drained.Running))
}

// burn reports what the hosts that answer know, and fails afterwards if some did not.
func (a *app) burn(ctx context.Context, arguments *burnArguments) error {
	if len(arguments.Entry) == 0 {
		return usage(errors.New("no entry host is given; set CHERVILUSHER_OPERATORS or --entry to operators' addresses"))
	}
	reports := make([]*api.BurnReport, 0, len(arguments.Entry))
	var missing error
	for i, entry := range arguments.Entry {
		a.printer.Progress("reading host %d of %d", i+1, len(arguments.Entry))
		report, err := a.readBurn(ctx, entry, arguments)
		if err != nil {
			missing = errors.Wrapf(err, "the report lacks %s", entry)
			continue
		}
		reports = append(reports, report)
	}
	if len(reports) == 0 {
		return missing
	}
	merged := burn.Merge(reports)
	if arguments.Page != "" {
		if err := a.burnPage(merged, arguments.Page); err != nil {
			return err
		}
		return missing
	}
	if err := a.printer.Print(merged, burnTable(merged)); err != nil {
		return err
	}
	return missing
}

func (a *app) readBurn(ctx context.Context, entry string, arguments *burnArguments) (*api.BurnReport, error) {
	host, err := a.operator(operatorFlags{Entry: entry, Token: arguments.Token, TokenFile: arguments.TokenFile})
	if err != nil {
		return nil, err
	}
	return host.Burn(ctx)
}

func (a *app) burnPage(report *api.BurnReport, path string) error {
	var page bytes.Buffer
	if err := burnpage.Write(&page, report); err != nil {
		return err
	}
	if err := os.WriteFile(path, page.Bytes(), pageMode); err != nil {
		return errors.WithStack(err)
	}
	return a.printer.Text(path, "written to "+path)
}

func burnTable(report *api.BurnReport) output.Table {
	table := output.Table{Heading: []string{"OWNER", "OBJECTIVE", "TARGET", "WINDOW", "RATE", "RECENT", "LIMIT", "COVERED", "ALARM", "SINCE"}}
	for _, objective := range report.Objectives {
		for _, window := range objective.Windows {
			table.Rows = append(table.Rows, []string{
				objective.Owner, objective.Name, fmt.Sprintf("%g%%", objective.Target*100), window.Long.String(),
				formatRate(window.Rate), formatRate(window.Recent), formatRate(window.Limit),
				window.Covered.Std().Truncate(time.Second).String(), yesOrNo(window.Alarm), formatTime(objective.Since),
			})
		}
	}
	return table
}

func formatRate(rate float64) string {
	return strconv.FormatFloat(rate, 'f', 2, 64)
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}

func yesOrNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
