package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
)

const (
	// logTimeout bounds what one request does at the log.
	logTimeout = 20 * time.Second
	// retryLog is when to come back while the log does not answer.
	retryLog = 2 * time.Second
	// maxPublishBytes is the longest accepted publish identifier.
	maxPublishBytes = 128
)

func (s *Server) accepted(c echo.Context, _ access) error {
	owner := c.Param("owner")
	accepted, ok := s.board.Configuration.Load().State.Owners[owner]
	if !ok {
		return &refusal{code: api.CodeNotFound, reason: fmt.Sprintf("owner %q has no configuration at this host", owner)}
	}
	return c.JSON(http.StatusOK, accepted)
}

func (s *Server) history(c echo.Context, _ access) error {
	ctx, stop := context.WithTimeout(c.Request().Context(), logTimeout)
	defer stop()
	changes, err := s.publisher.History(ctx, c.Param("owner"))
	if err != nil {
		return &refusal{code: api.CodeUnavailable, reason: err.Error(), retryAfter: retryLog}
	}
	return c.JSON(http.StatusOK, changes)
}

// publish checks the document, publishes it under the token's name, and answers with what the log made of it.
func (s *Server) publish(c echo.Context, who access) error {
	change, document, err := decodeChange(c)
	if err != nil {
		return err
	}
	record := configuration.Record{
		Type: configuration.RecordPublish, Publish: change.Publish, Author: who.author(), Base: change.Base, Document: document,
	}
	ctx, stop := context.WithTimeout(c.Request().Context(), logTimeout)
	defer stop()
	logger := s.common.Log.WithField("publish", change.Publish).WithField("owner", document.Owner).WithField("author", record.Author)
	outcome, err := s.publisher.Publish(ctx, record)
	if err != nil {
		logger.WithError(err).Warn("a publish has no known outcome")
		return &refusal{code: api.CodeUnavailable, reason: err.Error(), retryAfter: retryLog}
	}
	if outcome.Rejected != nil {
		logger.WithField("reason", outcome.Rejected.Reason).Info("a publish was rejected")
		return &refusal{code: api.CodeConflict, reason: outcome.Rejected.Reason}
	}
	logger.WithField("version", outcome.Accepted.Version).Info("a publish was accepted")
	return c.JSON(http.StatusOK, outcome.Accepted)
}

// decodeChange reads the body and checks the document, so that a wrong one does not reach the log.
func decodeChange(c echo.Context) (*api.Change, *configuration.Document, error) {
	var change api.Change
	if err := decodeStrictly(c.Request().Body, &change); err != nil {
		return nil, nil, &refusal{code: api.CodeBadRequest, reason: "the body is not a change: " + err.Error()}
	}
	if change.Publish == "" || len(change.Publish) > maxPublishBytes {
		reason := fmt.Sprintf("publish has %d bytes; give a unique identifier of 1 to %d", len(change.Publish), maxPublishBytes)
		return nil, nil, &refusal{code: api.CodeBadRequest, reason: reason}
	}
	if change.Base < 0 {
		return nil, nil, &refusal{code: api.CodeBadRequest, reason: "base is negative; give the version in force, or 0 for a first document"}
	}
	var document configuration.Document
	if err := decodeStrictly(bytes.NewReader(change.Document), &document); err != nil {
		return nil, nil, &refusal{code: api.CodeRejected, reason: "document: " + err.Error()}
	}
	if document.Owner != c.Param("owner") {
		reason := fmt.Sprintf("document.owner is %q, but the address names %q", document.Owner, c.Param("owner"))
		return nil, nil, &refusal{code: api.CodeRejected, reason: reason}
	}
	if err := document.Check(); err != nil {
		return nil, nil, &refusal{code: api.CodeRejected, reason: err.Error()}
	}
	return &change, &document, nil
}

func decodeStrictly(from io.Reader, target any) error {
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.WithStack(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text follows the JSON value")
	}
	return nil
}
