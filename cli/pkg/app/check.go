package app

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"chervilusher.dev/cli/pkg/files"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/settings"
)

// inForce is the value of --against that means the version in force.
const inForce = "force"

// checkReport is what config check finds in a valid document.
type checkReport struct {
	Owner    string          `json:"owner"`
	Findings []checkFinding  `json:"findings"`
	Against  string          `json:"against,omitempty"`
	Changes  []checkedChange `json:"changes,omitempty"`
}

// checkFinding is a finding with its place in the file.
type checkFinding struct {
	settings.Position
	configuration.Finding
}

// checkedChange is a field that differs, with its place in the file.
type checkedChange struct {
	settings.Position
	configuration.FieldChange
}

// configCheck prints what a document's fields can hardly be meant to say, and what differs from another version. It returns
// errFindings if there is a finding.
func (a *app) configCheck(ctx context.Context, arguments *configCheckArguments) error {
	raw, err := files.Read(arguments.File, a.stdin)
	if err != nil {
		return usage(err)
	}
	var document configuration.Document
	if err := settings.Parse(raw, &document); err != nil {
		return usage(errors.Wrap(err, arguments.File))
	}
	if err := document.Check(); err != nil {
		at := settings.Locate(raw, configuration.FieldPointer(err.Error()))
		return usage(errors.Wrapf(err, "%s:%d:%d", arguments.File, at.Line, at.Column))
	}
	report := checkReport{Owner: document.Owner, Findings: []checkFinding{}, Against: arguments.Against}
	for _, finding := range document.Lint() {
		report.Findings = append(report.Findings, checkFinding{settings.Locate(raw, finding.Pointer), finding})
	}
	if arguments.Against != "" {
		if report.Changes, err = a.changesAgainst(ctx, arguments, &document, raw); err != nil {
			return err
		}
	}
	if err := a.printer.Text(report, a.checkText(arguments.File, &document, &report)); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return errFindings
	}
	return nil
}

// changesAgainst returns the fields that differ from the other version, in the order of the file; those that it lacks come
// at the place of what they were part of.
func (a *app) changesAgainst(ctx context.Context, arguments *configCheckArguments, document *configuration.Document, raw []byte) ([]checkedChange, error) {
	before, err := a.otherVersion(ctx, arguments, document.Owner)
	if err != nil {
		return nil, err
	}
	changes, err := configuration.Diff(before, document)
	if err != nil {
		return nil, err
	}
	located := make([]checkedChange, 0, len(changes))
	for _, change := range changes {
		located = append(located, checkedChange{settings.Locate(raw, document.Pointer(change.Field)), change})
	}
	slices.SortStableFunc(located, func(a, b checkedChange) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return located, nil
}

func (a *app) otherVersion(ctx context.Context, arguments *configCheckArguments, owner string) (*configuration.Document, error) {
	if arguments.Against != inForce {
		return a.document(arguments.Against)
	}
	from, err := a.source(arguments.sourceFlags)
	if err != nil {
		return nil, err
	}
	accepted, err := from.accepted(ctx, owner)
	if err != nil {
		return nil, err
	}
	return &accepted.Document, nil
}

// checkText returns the report as lines that editors can follow.
func (a *app) checkText(file string, document *configuration.Document, report *checkReport) string {
	var text bytes.Buffer
	for _, finding := range report.Findings {
		_, _ = fmt.Fprintf(&text, "%s:%d:%d: %s\n", file, finding.Line, finding.Column, a.printer.Warning(finding.Problem))
	}
	for _, change := range report.Changes {
		_, _ = fmt.Fprintf(&text, "%s:%d:%d: %s: %s -> %s\n", file, change.Line, change.Column, change.Field,
			a.printer.Removed(cmp.Or(change.Old, "none")), a.printer.Added(cmp.Or(change.New, "none")))
	}
	_, _ = fmt.Fprintf(&text, "owner %s: %d places, %d services, %d pools, %d objectives", document.Owner,
		len(document.Places), len(document.Services), len(document.Pools), len(document.Objectives))
	if len(report.Findings) == 0 {
		text.WriteString(", no fault found")
	}
	return text.String()
}
