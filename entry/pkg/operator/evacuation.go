package operator

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
)

func (s *Server) evacuations(c echo.Context, _ access) error {
	return c.JSON(http.StatusOK, evacuationsOf(s.board.Configuration.Load().State))
}

// evacuationsOf returns the evacuated failure domains in order.
func evacuationsOf(state *configuration.State) []api.EvacuationStatus {
	found := []api.EvacuationStatus{}
	for domain, evacuation := range state.Evacuations {
		if evacuation.Evacuated {
			found = append(found, api.EvacuationStatus{Domain: domain, Author: evacuation.Author, Offset: evacuation.Offset})
		}
	}
	slices.SortFunc(found, func(a, b api.EvacuationStatus) int { return cmp.Compare(a.Domain, b.Domain) })
	return found
}

// evacuate closes a failure domain that the host list names.
func (s *Server) evacuate(c echo.Context, who access) error {
	domain := c.Param("domain")
	known := s.failureDomains()
	if !slices.Contains(known, domain) {
		reason := fmt.Sprintf("failure domain %q is not in the host list, which names %s", domain, strings.Join(known, ", "))
		return &refusal{code: api.CodeNotFound, reason: reason}
	}
	return s.changeEvacuation(c, who, &configuration.Record{Domain: domain, Evacuated: true})
}

// takeBack opens a failure domain again, also one that has left the host list meanwhile.
func (s *Server) takeBack(c echo.Context, who access) error {
	return s.changeEvacuation(c, who, &configuration.Record{Domain: c.Param("domain")})
}

func (s *Server) changeEvacuation(c echo.Context, who access, record *configuration.Record) error {
	if !who.host {
		return forbidden("evacuations concern all owners; they take the host's own operator token")
	}
	record.Publish = c.QueryParam("publish")
	if record.Publish == "" || len(record.Publish) > maxPublishBytes {
		reason := fmt.Sprintf("publish has %d bytes; give a unique identifier of 1 to %d", len(record.Publish), maxPublishBytes)
		return &refusal{code: api.CodeBadRequest, reason: reason}
	}
	record.Author = who.author()
	ctx, stop := context.WithTimeout(c.Request().Context(), logTimeout)
	defer stop()
	logger := s.common.Log.WithField("publish", record.Publish).WithField("place", record.Domain).WithField("evacuated", record.Evacuated)
	outcome, err := s.publisher.Evacuate(ctx, *record)
	if err != nil {
		logger.WithError(err).Warn("a change of an evacuation has no known outcome")
		return &refusal{code: api.CodeUnavailable, reason: err.Error(), retryAfter: retryLog}
	}
	if outcome.Rejected != nil {
		logger.WithField("reason", outcome.Rejected.Reason).Info("a change of an evacuation was rejected")
		return &refusal{code: api.CodeConflict, reason: outcome.Rejected.Reason}
	}
	logger.Info("a change of an evacuation was accepted")
	return c.JSON(http.StatusOK, outcome.Evacuation)
}

// failureDomains returns the failure domains of the host list in order.
func (s *Server) failureDomains() []string {
	var domains []string
	for _, host := range s.board.Hosts.Load().ByName {
		if !slices.Contains(domains, host.Place) {
			domains = append(domains, host.Place)
		}
	}
	slices.Sort(domains)
	return domains
}
