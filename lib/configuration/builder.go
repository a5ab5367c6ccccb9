package configuration

import (
	"io"
	"time"

	"chervilusher.dev/lib/jsontime"
)

// Builder collects an owner's configuration; Build checks it as a whole.
type Builder struct {
	document Document
}

// PlaceName refers to a place that was added to a builder.
type PlaceName string

// ServiceName refers to a service that was added to a builder.
type ServiceName string

// PoolName refers to a worker pool that was added to a builder.
type PoolName string

// ServiceOptions are the optional parts of a service.
type ServiceOptions struct {
	Places     []PlaceName   // empty means all places of the owner
	Deadline   time.Duration // for submissions that name none; zero means the host's default
	Timeout    time.Duration // longest wait for one answer of a minion; zero means the host's default
	Tombstones bool          // the minions answer GET and DELETE of tasks
}

// PoolOptions are the optional parts of a worker pool.
type PoolOptions struct {
	Places   []PlaceName   // empty means all places of the owner
	Deadline time.Duration // for submissions that name none; zero means the host's default
	Timeout  time.Duration // longest run time before a task is stopped; zero means the host's default
}

// Goal is what an objective asks of each answer and of their share.
type Goal struct {
	Latency time.Duration // an answer within it is good; zero counts success alone
	Target  float64       // share of good answers, such as 0.999
}

// NewBuilder returns a builder of the owner's configuration.
func NewBuilder(owner string) *Builder {
	return &Builder{document: Document{Owner: owner, Tokens: []Token{}}}
}

// Weight sets the owner's share against other owners.
func (b *Builder) Weight(weight int) {
	b.document.Weight = weight
}

// Quota bounds the tasks that the owner may hold at one entry host.
func (b *Builder) Quota(queued, running int) {
	b.document.Quota = Quota{Queued: queued, Running: running}
}

// Token adds a bearer token, of which only the hash is kept; an empty token fails the check.
func (b *Builder) Token(name string, role TokenRole, token string) {
	hash := ""
	if token != "" {
		hash = HashToken(token)
	}
	b.TokenHash(name, role, hash)
}

// TokenHash adds a bearer token by its hash, as HashToken gives it.
func (b *Builder) TokenHash(name string, role TokenRole, hash string) {
	b.document.Tokens = append(b.document.Tokens, Token{Name: name, Role: role, Hash: hash})
}

// Place adds the owner's own name for a failure domain of the host list.
func (b *Builder) Place(name, domain string) PlaceName {
	b.document.Places = append(b.document.Places, Place{Name: name, Domain: domain})
	return PlaceName(name)
}

// Service adds a service that the minions of a group answer.
func (b *Builder) Service(name, group string, options ServiceOptions) ServiceName {
	b.document.Services = append(b.document.Services, Service{
		Name: name, Group: group, Places: placeNames(options.Places),
		Deadline: jsontime.Duration(options.Deadline), Timeout: jsontime.Duration(options.Timeout),
		Tombstones: options.Tombstones,
	})
	return ServiceName(name)
}

// Pool adds a pool of the workers of a group.
func (b *Builder) Pool(name, group string, options PoolOptions) PoolName {
	b.document.Pools = append(b.document.Pools, Pool{
		Name: name, Group: group, Places: placeNames(options.Places),
		Deadline: jsontime.Duration(options.Deadline), Timeout: jsontime.Duration(options.Timeout),
	})
	return PoolName(name)
}

// ServiceObjective adds a service-level objective of a service.
func (b *Builder) ServiceObjective(name string, service ServiceName, goal Goal) {
	b.objective(Objective{Name: name, Service: string(service)}, goal)
}

// PoolObjective adds a service-level objective of a worker pool.
func (b *Builder) PoolObjective(name string, pool PoolName, goal Goal) {
	b.objective(Objective{Name: name, Pool: string(pool)}, goal)
}

// Build returns the document, or an error that names the first wrong field and how to mend it.
func (b *Builder) Build() (*Document, error) {
	if err := b.document.Check(); err != nil {
		return nil, err
	}
	document := b.document
	return &document, nil
}

// Print checks the document and writes it as JSON; the same calls give the same text.
func (b *Builder) Print(out io.Writer) error {
	document, err := b.Build()
	if err != nil {
		return err
	}
	return document.Print(out)
}

func (b *Builder) objective(objective Objective, goal Goal) {
	objective.Latency = jsontime.Duration(goal.Latency)
	objective.Target = goal.Target
	b.document.Objectives = append(b.document.Objectives, objective)
}

func placeNames(places []PlaceName) []string {
	names := make([]string, 0, len(places))
	for _, place := range places {
		names = append(names, string(place))
	}
	return names
}
