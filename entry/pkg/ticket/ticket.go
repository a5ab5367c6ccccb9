package ticket

import (
	"sync"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Claims is what a window token says; the home named in it is the only process that starts what is submitted under it.
type Claims struct {
	Account       string `json:"own"`
	FailureDomain string `json:"plc"`
	Host          string `json:"hst"`
	Incarnation   string `json:"inc"`
	Window        int64  `json:"win"` // start of the window, Unix milliseconds by the home's clock
}

// GetExpirationTime implements jwt.Claims; the home alone decides when a window is forgotten.
func (c *Claims) GetExpirationTime() (*jwt.NumericDate, error) { return nil, nil }

// GetIssuedAt implements jwt.Claims.
func (c *Claims) GetIssuedAt() (*jwt.NumericDate, error) { return nil, nil }

// GetNotBefore implements jwt.Claims.
func (c *Claims) GetNotBefore() (*jwt.NumericDate, error) { return nil, nil }

// GetIssuer implements jwt.Claims.
func (c *Claims) GetIssuer() (string, error) { return c.Host, nil }

// GetSubject implements jwt.Claims.
func (c *Claims) GetSubject() (string, error) { return c.Account, nil }

// GetAudience implements jwt.Claims.
func (c *Claims) GetAudience() (jwt.ClaimStrings, error) { return nil, nil }

// Issuer issues this host's tickets and verifies those of all hosts.
type Issuer struct {
	key         []byte
	host        string
	place       string
	incarnation string
	window      time.Duration
	clock       clockwork.Clock

	mu      sync.Mutex
	started time.Time
	current int64             // start of the current window, Unix milliseconds
	ends    time.Time         // of the current window
	issued  map[string]string // tokens by owner; one serves an owner for a whole window
}

// New returns an issuer that signs with the key that all hosts share.
func New(key, host, place, incarnation string, window time.Duration, clock clockwork.Clock) *Issuer {
	issuer := &Issuer{
		key:         []byte(key),
		host:        host,
		place:       place,
		incarnation: incarnation,
		window:      window,
		clock:       clock,
		started:     clock.Now(),
	}
	issuer.open(issuer.started)
	return issuer
}

// Issue returns the owner's ticket for the current window and how long the window still runs.
func (i *Issuer) Issue(owner string) (string, time.Duration, error) {
	now := i.clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !now.Before(i.ends) {
		i.open(now)
	}
	left := min(i.ends.Sub(now), i.window)
	if token, ok := i.issued[owner]; ok {
		return token, left, nil
	}
	claims := &Claims{
		Account:       owner,
		FailureDomain: i.place,
		Host:          i.host,
		Incarnation:   i.incarnation,
		Window:        i.current,
	}
	token, err := jwt.NewWithClaims(jwt.SigningMethodHS256, claims).SignedString(i.key)
	if err != nil {
		return "", 0, errors.WithStack(err)
	}
	i.issued[owner] = token
	return token, left, nil
}

// Close ends the window early when it is the current one, so that the next ticket opens a new one.
func (i *Issuer) Close(window int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.current == window {
		i.open(i.clock.Now())
	}
}

// open starts the next window; a step of the wall clock never leads back to an earlier one.
func (i *Issuer) open(now time.Time) {
	steady := i.started.Add(now.Sub(i.started))
	i.current = max(steady.UnixMilli(), i.current+1)
	i.ends = now.Add(i.window)
	i.issued = map[string]string{}
}

// Verify returns what a ticket of any host says, or an error for one that is forged or unreadable.
func (i *Issuer) Verify(token string) (*Claims, error) {
	var claims Claims
	keyOf := func(*jwt.Token) (any, error) { return i.key, nil }
	if _, err := jwt.ParseWithClaims(token, &claims, keyOf, jwt.WithValidMethods([]string{"HS256"})); err != nil {
		return nil, errors.Wrap(err, "the ticket is not valid")
	}
	return &claims, nil
}

// Own reports whether this process issued the ticket.
func (i *Issuer) Own(claims *Claims) bool {
	return claims.Host == i.host && claims.Incarnation == i.incarnation
}
