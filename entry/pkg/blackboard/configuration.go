package blackboard

import (
	"sync/atomic"

	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/configuration"
)

// Configuration holds the accepted configuration; it only ever moves to a higher version.
type Configuration struct {
	current atomic.Pointer[ConfigurationIndex]
}

// ConfigurationIndex is one accepted configuration with the look-ups that requests need.
type ConfigurationIndex struct {
	State  *configuration.State
	Tokens map[string]Bearer // by the token's hash
}

// Bearer is who holds a token.
type Bearer struct {
	Account string
	Name    string
	Role    configuration.TokenRole
}

// NewConfigurationIndex returns the look-ups of a configuration state.
func NewConfigurationIndex(state *configuration.State) *ConfigurationIndex {
	directory := &ConfigurationIndex{State: state, Tokens: map[string]Bearer{}}
	for name, accepted := range state.Owners {
		for _, token := range accepted.Document.Tokens {
			directory.Tokens[token.Hash] = Bearer{Account: name, Name: token.Name, Role: token.Role}
		}
	}
	return directory
}

// Document returns the owner's document in force, or nil.
func (d *ConfigurationIndex) Document(owner string) *configuration.Document {
	accepted, ok := d.State.Owners[owner]
	if !ok {
		return nil
	}
	return &accepted.Document
}

// Load returns the configuration in force, never nil.
func (c *Configuration) Load() *ConfigurationIndex {
	return c.current.Load()
}

// Store puts a configuration in force; an older one than that in force is a breach and is dropped.
func (c *Configuration) Store(directory *ConfigurationIndex) {
	for {
		current := c.current.Load()
		if current != nil && directory.State.Next < current.State.Next {
			invariant.Check(false, "configuration_never_reverts", "offset %d after %d", directory.State.Next, current.State.Next)
			return
		}
		if c.current.CompareAndSwap(current, directory) {
			return
		}
	}
}

func newEmptyConfiguration() *ConfigurationIndex {
	return NewConfigurationIndex(configuration.NewState())
}
