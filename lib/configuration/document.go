package configuration

import (
	"crypto/sha256"
	"encoding/hex"

	"chervilusher.dev/lib/jsontime"
)

// TokenRole says what the bearer of a token may do.
type TokenRole string

// Roles of tokens.
const (
	RoleCaller   TokenRole = "caller"   // submits, waits and cancels
	RoleOperator TokenRole = "operator" // reads and changes the owner's configuration too
)

// Token is the hash of one bearer token of an owner.
type Token struct {
	Name string    `json:"name"`
	Role TokenRole `json:"role"`
	Hash string    `json:"hash"` // SHA-256 of the token, in hexadecimal
}

// HashToken returns the hash under which a bearer token stands in the configuration.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Place is an owner's own name for a failure domain of the platform.
type Place struct {
	Name   string `json:"name"`
	Domain string `json:"domain"` // the failure domain's name in the host list
}

// Service is a set of minions that answers an owner's requests.
type Service struct {
	Name       string            `json:"name"`
	Group      string            `json:"group"`                // the minions' group in the host list
	Places     []string          `json:"places,omitempty"`     // names of Places; empty means all
	Deadline   jsontime.Duration `json:"deadline,omitempty"`   // default for submissions that name none
	Timeout    jsontime.Duration `json:"timeout,omitempty"`    // longest wait for one answer of a minion
	Tombstones bool              `json:"tombstones,omitempty"` // the minions answer GET and DELETE of tasks
}

// Pool is a set of workers that runs an owner's tasks under leases.
type Pool struct {
	Name     string            `json:"name"`
	Group    string            `json:"group"`            // the workers' group in the host list
	Places   []string          `json:"places,omitempty"` // names of Places; empty means all
	Deadline jsontime.Duration `json:"deadline,omitempty"`
	Timeout  jsontime.Duration `json:"timeout,omitempty"` // longest run time before a task is stopped
}

// Quota bounds what one owner may hold at one entry host.
type Quota struct {
	Queued  int `json:"queued,omitempty"`  // tasks waiting; zero means the default
	Running int `json:"running,omitempty"` // tasks started and not ended; zero means no bound
}

// Objective is a service-level objective of an owner's service or pool.
type Objective struct {
	Name    string            `json:"name"`
	Service string            `json:"service,omitempty"`
	Pool    string            `json:"pool,omitempty"`
	Latency jsontime.Duration `json:"latency,omitempty"` // an answer within it is good; zero counts success alone
	Target  float64           `json:"target"`            // share of good answers, such as 0.999
}

// Document is the whole configuration of one owner.
type Document struct {
	Owner      string      `json:"owner"`
	Weight     int         `json:"weight,omitempty"` // share against other owners; zero means 1
	Quota      Quota       `json:"quota,omitzero"`
	Tokens     []Token     `json:"tokens"`
	Places     []Place     `json:"places,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Pools      []Pool      `json:"pools,omitempty"`
	Objectives []Objective `json:"objectives,omitempty"`
}
