package app

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chervilusher.dev/cli/pkg/files"
	"chervilusher.dev/cli/pkg/output"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/publish"
)

// source is where an operator reads and publishes configurations.
type source interface {
	accepted(ctx context.Context, owner string) (*configuration.Accepted, error)
	history(ctx context.Context, owner string) ([]publish.Change, error)
	publish(ctx context.Context, record configuration.Record) (*configuration.Accepted, error)
}

func (a *app) config(ctx context.Context, arguments *configArguments) error {
	switch {
	case arguments.New != nil:
		return a.configNew(arguments.New)
	case arguments.Check != nil:
		return a.configCheck(ctx, arguments.Check)
	case arguments.Diff != nil:
		return a.configDiff(ctx, arguments.Diff)
	case arguments.Publish != nil:
		return a.configPublish(ctx, arguments.Publish)
	case arguments.Show != nil:
		return a.configShow(ctx, arguments.Show)
	case arguments.History != nil:
		return a.configHistory(ctx, arguments.History)
	default:
		return usage(errors.New("config needs new, check, diff, publish, show or history; see `chervilusher config --help`"))
	}
}

func (a *app) configNew(arguments *configNewArguments) error {
	document, err := configuration.Skeleton(arguments.Owner)
	if err != nil {
		return usage(err)
	}
	return a.printer.JSON(document)
}

func (a *app) document(path string) (*configuration.Document, error) {
	var document configuration.Document
	if err := files.Parse(path, a.stdin, &document); err != nil {
		return nil, usage(err)
	}
	if err := document.Check(); err != nil {
		return nil, usage(errors.Wrap(err, path))
	}
	return &document, nil
}

func (a *app) configDiff(ctx context.Context, arguments *configDiffArguments) error {
	document, err := a.document(arguments.File)
	if err != nil {
		return err
	}
	from, err := a.source(arguments.sourceFlags)
	if err != nil {
		return err
	}
	accepted, err := from.accepted(ctx, document.Owner)
	if err != nil {
		return err
	}
	changes, err := configuration.Diff(&accepted.Document, document)
	if err != nil {
		return err
	}
	table := output.Table{Heading: []string{"FIELD", fmt.Sprintf("VERSION %d", accepted.Version), "FILE"}}
	for _, change := range changes {
		table.Rows = append(table.Rows, []string{change.Field, change.Old, change.New})
	}
	return a.printer.Print(changes, table)
}

func (a *app) configPublish(ctx context.Context, arguments *configPublishArguments) error {
	document, err := a.document(arguments.File)
	if err != nil {
		return err
	}
	if arguments.Base == nil {
		return usage(errors.New("--base is missing; give the version that the document was made from, as config show prints it, or 0 for a first document"))
	}
	into, err := a.source(arguments.sourceFlags)
	if err != nil {
		return err
	}
	identifier := arguments.Again
	if identifier == "" {
		identifier = uuid.NewString()
	}
	record := configuration.Record{
		Type: configuration.RecordPublish, Publish: identifier, Author: arguments.Author, Base: *arguments.Base, Document: document,
	}
	a.printer.Progress("publishing %s", record.Publish)
	accepted, err := into.publish(ctx, record)
	if err != nil {
		return errors.Wrapf(err, "publish %s", record.Publish)
	}
	return a.printer.Text(accepted, fmt.Sprintf("owner %s: version %d is accepted (offset %d, publish %s)",
		document.Owner, accepted.Version, accepted.Offset, record.Publish))
}

func (a *app) configShow(ctx context.Context, arguments *configOwnerArguments) error {
	from, err := a.source(arguments.sourceFlags)
	if err != nil {
		return err
	}
	accepted, err := from.accepted(ctx, arguments.Owner)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "// version %d, published by %s\n", accepted.Version, accepted.Author)
	if err := accepted.Document.Print(&text); err != nil {
		return err
	}
	return a.printer.Text(accepted, text.String())
}

func (a *app) configHistory(ctx context.Context, arguments *configOwnerArguments) error {
	from, err := a.source(arguments.sourceFlags)
	if err != nil {
		return err
	}
	changes, err := from.history(ctx, arguments.Owner)
	if err != nil {
		return err
	}
	table := output.Table{Heading: []string{"OFFSET", "TIME", "BASE", "VERSION", "AUTHOR", "PUBLISH", "REJECTED"}}
	for _, change := range changes {
		version := "-"
		if change.Version > 0 {
			version = strconv.FormatInt(change.Version, 10)
		}
		table.Rows = append(table.Rows, []string{
			strconv.FormatInt(change.Offset, 10), change.Time.UTC().Format(time.RFC3339), strconv.FormatInt(change.Base, 10),
			version, change.Author, change.Publish, change.Reason,
		})
	}
	return a.printer.Print(changes, table)
}
