package ticket

import (
	"sync"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Claims are the contents of a ticket; only the home process that it names starts jobs submitted under it.
type Claims struct {
	Account       string `json:"own"`
	FailureDomain string `json:"plc"`
	Host          string `json:"hst"`
	Incarnation   string `json:"inc"`
	Window        int64  `json:"win"` // start of the window, Unix milliseconds on the home's clock
}

// GetExpirationTime implements jwt.Claims; tickets do not expire, as the home alone decides when a window is forgotten.
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
	key           []byte
	host          string
	failureDomain string
	incarnation   string
	window        time.Duration
	clock         clockwork.Clock

	mu            sync.Mutex
	started       time.Time
	currentWindow int64             // start of the current window, Unix milliseconds
	windowEnd     time.Time         // end of the current window
	issued        map[string]string // tokens by account; an account has one token per window
}

// New returns an issuer that signs with the key shared by all hosts.
func New(key, host, failureDomain, incarnation string, window time.Duration, clock clockwork.Clock) *Issuer {
	issuer := &Issuer{
		key:           []byte(key),
		host:          host,
		failureDomain: failureDomain,
		incarnation:   incarnation,
		window:        window,
		clock:         clock,
		started:       clock.Now(),
	}
	issuer.openWindow(issuer.started)
	return issuer
}

// Issue returns the account's ticket for the current window and the time until the window ends.
func (i *Issuer) Issue(account string) (string, time.Duration, error) {
	now := i.clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !now.Before(i.windowEnd) {
		i.openWindow(now)
	}
	left := min(i.windowEnd.Sub(now), i.window)
	if token, ok := i.issued[account]; ok {
		return token, left, nil
	}
	claims := &Claims{
		Account:       account,
		FailureDomain: i.failureDomain,
		Host:          i.host,
		Incarnation:   i.incarnation,
		Window:        i.currentWindow,
	}
	token, err := jwt.NewWithClaims(jwt.SigningMethodHS256, claims).SignedString(i.key)
	if err != nil {
		return "", 0, errors.WithStack(err)
	}
	i.issued[account] = token
	return token, left, nil
}

// Close ends the window early if it is the current one; the next ticket belongs to a new window.
func (i *Issuer) Close(window int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.currentWindow == window {
		i.openWindow(i.clock.Now())
	}
}

// openWindow starts the next window; its start always increases, also when the wall clock is set back.
func (i *Issuer) openWindow(now time.Time) {
	monotonic := i.started.Add(now.Sub(i.started))
	i.currentWindow = max(monotonic.UnixMilli(), i.currentWindow+1)
	i.windowEnd = now.Add(i.window)
	i.issued = map[string]string{}
}

// Verify returns the claims of a ticket issued by any host, or an error if it is forged or malformed.
func (i *Issuer) Verify(token string) (*Claims, error) {
	var claims Claims
	keyFunc := func(*jwt.Token) (any, error) { return i.key, nil }
	if _, err := jwt.ParseWithClaims(token, &claims, keyFunc, jwt.WithValidMethods([]string{"HS256"})); err != nil {
		return nil, errors.Wrap(err, "the ticket is not valid")
	}
	return &claims, nil
}

// Own reports whether this process issued the ticket.
func (i *Issuer) Own(claims *Claims) bool {
	return claims.Host == i.host && claims.Incarnation == i.incarnation
}
