package operator

import (
	"crypto/subtle"
	"strings"

	"github.com/labstack/echo/v4"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
)

// hostAuthor is how the log names the bearer of the host's own operator token.
const hostAuthor = "host"

// access tells what the bearer of a token may do: everything at this host, or what concerns one owner.
type access struct {
	host  bool
	owner string // empty for the host's own token
	name  string // of the token
}

// author names the bearer in logs and in the configuration's history.
func (a access) author() string {
	if a.host {
		return hostAuthor
	}
	return a.owner + "/" + a.name
}

// may reports whether the bearer may read and change the owner's configuration.
func (a access) may(owner string) bool {
	return a.host || a.owner == owner
}

// authorized passes a request on if it shows an operator's token.
func (s *Server) authorized(serve func(echo.Context, access) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		who, err := s.authorize(c)
		if err != nil {
			return err
		}
		if owner := c.Param("owner"); owner != "" && !who.may(owner) {
			return forbidden("the token belongs to another owner")
		}
		return serve(c, who)
	}
}

func (s *Server) authorize(c echo.Context) (access, error) {
	token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !ok || token == "" {
		return access{}, &refusal{code: api.CodeUnauthorized, reason: "give an operator's token as Authorization: Bearer TOKEN"}
	}
	hash := configuration.HashToken(token)
	own := s.common.Settings.Operator.Hash
	if own != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(own))) == 1 {
		return access{host: true}, nil
	}
	bearer, ok := s.board.Configuration.Load().Tokens[hash]
	if !ok {
		return access{}, &refusal{code: api.CodeUnauthorized, reason: "no operator has this token"}
	}
	if bearer.Role != configuration.RoleOperator {
		return access{}, forbidden("the token is a caller's; give an operator's")
	}
	return access{owner: bearer.Account, name: bearer.Name}, nil
}
