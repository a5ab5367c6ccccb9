package configuration

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/jsontime"
)

// Print writes the document as indented JSON, the same text for the same document.
func (d *Document) Print(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.WithStack(encoder.Encode(d))
}

// Skeleton returns a first document for an owner to edit; it passes the checks.
func Skeleton(owner string) (*Document, error) {
	document := &Document{
		Owner:  owner,
		Weight: 1,
		Tokens: []Token{
			{Name: "callers", Role: RoleCaller, Hash: strings.Repeat("0", hashHexDigits)},
			{Name: "operators", Role: RoleOperator, Hash: strings.Repeat("0", hashHexDigits)},
		},
		Places:   []Place{{Name: "north", Domain: "domain-1"}},
		Services: []Service{{Name: "desk", Group: "minions", Deadline: jsontime.Duration(10 * time.Second)}},
		Pools:    []Pool{{Name: "workers", Group: "workers", Deadline: jsontime.Duration(time.Minute)}},
		Objectives: []Objective{
			{Name: "prompt", Service: "desk", Latency: jsontime.Duration(2 * time.Second), Target: 0.99},
		},
	}
	if err := document.Check(); err != nil {
		return nil, err
	}
	return document, nil
}
