package operator

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
)

// refusal is an error with the code that the operator gets.
type refusal struct {
	code       api.Code
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string {
	return r.reason
}

func forbidden(reason string) error {
	return &refusal{code: api.CodeForbidden, reason: reason}
}

var statusByCode = map[api.Code]int{
	api.CodeBadRequest:   http.StatusBadRequest,
	api.CodeUnauthorized: http.StatusUnauthorized,
	api.CodeForbidden:    http.StatusForbidden,
	api.CodeNotFound:     http.StatusNotFound,
	api.CodeTooLarge:     http.StatusRequestEntityTooLarge,
	api.CodeConflict:     http.StatusConflict,
	api.CodeRejected:     http.StatusUnprocessableEntity,
	api.CodeUnavailable:  http.StatusServiceUnavailable,
}

// sendError writes an error as an api.Fault.
func sendError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	fault := api.Fault{Code: api.CodeInternal, Reason: err.Error()}
	var known *refusal
	var framework *echo.HTTPError
	switch {
	case errors.As(err, &known):
		fault.Code = known.code
		if known.retryAfter > 0 {
			seconds := int(math.Ceil(known.retryAfter.Seconds()))
			c.Response().Header().Set(api.HeaderRetryAfter, strconv.Itoa(seconds))
		}
	case errors.As(err, &framework) && framework.Code == http.StatusRequestEntityTooLarge:
		fault = api.Fault{Code: api.CodeTooLarge, Reason: fmt.Sprintf("the body is larger than %d bytes", api.MaxBodyBytes)}
	case errors.As(err, &framework) && framework.Code < http.StatusInternalServerError:
		fault = api.Fault{Code: api.CodeNotFound, Reason: fmt.Sprint(framework.Message)}
	}
	status, ok := statusByCode[fault.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	_ = c.JSON(status, fault)
}
