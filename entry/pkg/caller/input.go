package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/inflow"
	"chervilusher.dev/entry/pkg/ticket"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/jsontime"
)

// inputError is a request that is turned away before anything was started.
type inputError struct {
	code   api.Code
	reason string
}

// Error implements error.
func (e *inputError) Error() string {
	return e.reason
}

func badRequest(format string, values ...any) error {
	return &inputError{code: api.CodeBadRequest, reason: fmt.Sprintf(format, values...)}
}

func (s *Server) authenticate(c echo.Context) (blackboard.Bearer, error) {
	header := c.Request().Header.Get(echo.HeaderAuthorization)
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return blackboard.Bearer{}, &inputError{code: api.CodeUnauthorized, reason: "give the owner's token as Authorization: Bearer TOKEN"}
	}
	directory := s.board.Configuration.Load()
	bearer, ok := directory.Tokens[configuration.HashToken(token)]
	if !ok && len(directory.State.Owners) == 0 {
		return blackboard.Bearer{}, &inputError{code: api.CodeUnavailable, reason: "the host has no configuration yet"}
	}
	if !ok {
		return blackboard.Bearer{}, &inputError{code: api.CodeUnauthorized, reason: "no owner has this token"}
	}
	return bearer, nil
}

// ticketOf returns the request's ticket; a submission without one becomes this host's own.
func (s *Server) ticketOf(c echo.Context, bearer blackboard.Bearer, mayIssue bool) (string, *ticket.Claims, error) {
	token := c.Request().Header.Get(api.HeaderTicket)
	if token == "" && mayIssue {
		issued, _, err := s.tickets.Issue(bearer.Account)
		if err != nil {
			return "", nil, err
		}
		token = issued
	}
	if token == "" {
		return "", nil, badRequest("give the submission's ticket in %s", api.HeaderTicket)
	}
	claims, err := s.tickets.Verify(token)
	if err != nil {
		return "", nil, &inputError{code: api.CodeBadTicket, reason: err.Error()}
	}
	if claims.Account != bearer.Account {
		return "", nil, &inputError{code: api.CodeForbidden, reason: "the ticket belongs to another owner"}
	}
	return token, claims, nil
}

// keyOf returns the caller's own identifier; a submission without one gets a fresh one.
func keyOf(c echo.Context) (string, error) {
	key := c.Request().Header.Get(api.HeaderKey)
	if key == "" {
		return uuid.NewString(), nil
	}
	if len(key) > api.MaxKeyBytes {
		return "", badRequest("%s is longer than %d bytes", api.HeaderKey, api.MaxKeyBytes)
	}
	for _, char := range key {
		if char <= ' ' || char > '~' || char == '/' {
			return "", badRequest("%s holds %q; give printable ASCII without spaces and slashes", api.HeaderKey, char)
		}
	}
	return key, nil
}

func decodeBody(c echo.Context, into any) (digest uint64, err error) {
	raw, err := inflow.ReadBody(c.Request(), api.MaxBodyBytes)
	if err != nil {
		inflow.EndConnection(c.Response())
		return 0, err
	}
	return xxhash.Sum64(raw), inflow.Decode(c.Request(), raw, func(raw []byte) error {
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(into); err != nil {
			return badRequest("the body is not a valid submission: %s", err)
		}
		if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
			return badRequest("text follows the submission")
		}
		return nil
	})
}

func checkSubmission(submission *api.Submission) error {
	if len(submission.Tasks) == 0 {
		return badRequest("tasks is empty; give 1 to %d", api.MaxTasks)
	}
	if len(submission.Tasks) > api.MaxTasks {
		return badRequest("tasks has %d entries; give at most %d", len(submission.Tasks), api.MaxTasks)
	}
	if submission.Deadline < 0 {
		return badRequest("deadline is negative")
	}
	for i := range submission.Tasks {
		if err := checkTask(&submission.Tasks[i]); err != nil {
			return badRequest("tasks[%d]: %s", i, err)
		}
	}
	return nil
}

func checkTask(task *api.Task) error {
	if (task.Service == "") == (task.Pool == "") {
		return errors.New("name either a service or a pool")
	}
	if task.Kind == "" || len(task.Kind) > api.MaxNameBytes {
		return errors.Errorf("kind has %d bytes; give 1 to %d", len(task.Kind), api.MaxNameBytes)
	}
	if task.Declared < 0 {
		return errors.New("declared is negative")
	}
	if task.Need.Cores < 0 || task.Need.Memory < 0 || task.Need.Accelerators < 0 {
		return errors.New("need is negative")
	}
	return nil
}

func parseWait(c echo.Context, fallback time.Duration) (time.Duration, error) {
	text := c.QueryParam("wait")
	if text == "" {
		return fallback, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, badRequest("wait is %q; give a duration such as \"5s\"", text)
	}
	return min(wait, maxWait), nil
}

func newTicket(token string, left time.Duration) api.Ticket {
	return api.Ticket{Ticket: token, Left: jsontime.Duration(left)}
}

// send writes the answer; a refusal says in whole seconds when to come back.
func send(c echo.Context, answer *api.Answer) error {
	if answer.RetryAfter > 0 {
		seconds := int(math.Ceil(answer.RetryAfter.Std().Seconds()))
		c.Response().Header().Set(api.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return c.JSON(answer.Status(), answer)
}

// retryNotReady is when to come back to a host that has just started or is stopping.
const retryNotReady = 500 * time.Millisecond

// answerError turns an error into an answer: this request has started nothing.
func answerError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	answer := &api.Answer{State: api.StateRefused, Ran: api.RanNo, Code: api.CodeInternal, Reason: err.Error()}
	var input *inputError
	var framework *echo.HTTPError
	switch {
	case errors.As(err, &input):
		answer.Code = input.code
	case errors.Is(err, inflow.ErrTooLarge):
		answer.Code = api.CodeTooLarge
		answer.Reason = fmt.Sprintf("the body is larger than %d bytes", api.MaxBodyBytes)
	case errors.Is(err, inflow.ErrCrowded):
		answer.Code = api.CodeUnavailable
	case errors.Is(err, inflow.ErrSlow):
		answer.Code = api.CodeTooSlow
	case errors.As(err, &framework) && framework.Code < http.StatusInternalServerError:
		answer.Code = api.CodeNotFound
		answer.Reason = fmt.Sprint(framework.Message)
	}
	if answer.Code == api.CodeUnavailable || answer.Code == api.CodeDraining {
		answer.RetryAfter = jsontime.Duration(retryNotReady)
	}
	if c.Request().Header.Get(api.HeaderTicket) != "" && leavesOutcomeOpen(answer.Code) {
		answer.State = api.StateUnknown
		answer.Ran = api.RanUnknown
	}
	_ = send(c, answer)
}

// leavesOutcomeOpen reports whether an earlier try of the same submission may have been taken elsewhere, which this host cannot tell.
func leavesOutcomeOpen(code api.Code) bool {
	switch code {
	case api.CodeBadRequest, api.CodeTooLarge:
		return false
	default:
		return true
	}
}
