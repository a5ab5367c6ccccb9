package operator

import (
	"context"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/publish"
)

// Publisher publishes documents on the log and reads what became of them.
type Publisher interface {
	Publish(ctx context.Context, record configuration.Record) (*publish.Outcome, error)
	Evacuate(ctx context.Context, record configuration.Record) (*publish.Outcome, error)
	History(ctx context.Context, owner string) ([]publish.Change, error)
}

// BurnReporter reports the burn of objectives.
type BurnReporter interface {
	// Report covers the owner's objectives, or all owners' for an empty name.
	Report(owner string) *api.BurnReport
	// WriteMetrics writes the burn of all objectives as Prometheus text.
	WriteMetrics(out io.Writer)
}

// Drainer makes the host finish its work and stop, and returns how many submissions it still finishes.
type Drainer interface {
	RequestDrain() int
}

// Server is the operators' API.
type Server struct {
	common    *common.Common
	board     *blackboard.Board
	publisher Publisher
	burn      BurnReporter
	drainer   Drainer
}

// New returns the operators' API over the board and the given parts.
func New(c *common.Common, board *blackboard.Board, publisher Publisher, burn BurnReporter, drainer Drainer) *Server {
	return &Server{common: c.Prefixed("operator"), board: board, publisher: publisher, burn: burn, drainer: drainer}
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = sendError
	router.Use(middleware.BodyLimit("4M"))
	router.GET("/live", s.live)
	router.GET("/ready", s.ready)
	router.GET("/metrics", s.metrics)
	router.GET("/v1/status", s.authorized(s.status))
	router.GET("/v1/burn", s.authorized(s.reportBurn))
	router.POST("/v1/drain", s.authorized(s.drain))
	router.GET("/v1/owners/:owner/configuration", s.authorized(s.accepted))
	router.POST("/v1/owners/:owner/configuration", s.authorized(s.publish))
	router.GET("/v1/owners/:owner/history", s.authorized(s.history))
	router.GET("/v1/evacuations", s.authorized(s.evacuations))
	router.PUT("/v1/evacuations/:domain", s.authorized(s.evacuate))
	router.DELETE("/v1/evacuations/:domain", s.authorized(s.takeBack))
	return router
}

func (s *Server) live(c echo.Context) error {
	return c.String(http.StatusOK, "live\n")
}

// ready answers 503 until a configuration is in force, and again while the host is stopping.
func (s *Server) ready(c echo.Context) error {
	if s.board.Draining.Load() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	if len(s.board.Configuration.Load().State.Owners) == 0 {
		return c.String(http.StatusServiceUnavailable, "no configuration yet\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; charset=utf-8")
	metrics.WritePrometheus(c.Response(), true)
	s.burn.WriteMetrics(c.Response())
	return nil
}

func (s *Server) reportBurn(c echo.Context, who access) error {
	return c.JSON(http.StatusOK, s.burn.Report(who.owner))
}

func (s *Server) drain(c echo.Context, who access) error {
	if !who.host {
		return forbidden("draining takes the host's own operator token")
	}
	s.common.Log.WithField("author", who.author()).Info("asked to drain")
	return c.JSON(http.StatusAccepted, api.Drained{Running: s.drainer.RequestDrain()})
}
