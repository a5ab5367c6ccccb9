package operator

import (
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
)

// Server is the operators' API.
type Server struct {
	common *common.Common
	board  *blackboard.Board
}

// New returns the operators' API over the board.
func New(c *common.Common, board *blackboard.Board) *Server {
	return &Server{common: c.Prefixed("operator"), board: board}
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	router := echo.New()
	router.GET("/live", s.live)
	router.GET("/ready", s.ready)
	router.GET("/metrics", s.metrics)
	router.GET("/v1/status", s.status)
	router.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	router.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
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
	return nil
}
