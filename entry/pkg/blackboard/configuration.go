package blackboard

import (
	"sync/atomic"

	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/configuration"
)

// Configuration holds the configuration in force; its version never decreases.
type Configuration struct {
	current atomic.Pointer[ConfigurationIndex]
}

// ConfigurationIndex is one configuration state, indexed for the lookups of requests.
type ConfigurationIndex struct {
	State  *configuration.State
	Tokens map[string]Bearer // by hash of the token
}

// Bearer is the holder of a token.
type Bearer struct {
	Account string
	Name    string
	Role    configuration.TokenRole
}

// NewConfigurationIndex returns the index of a configuration state.
func NewConfigurationIndex(state *configuration.State) *ConfigurationIndex {
	index := &ConfigurationIndex{State: state, Tokens: map[string]Bearer{}}
	for name, accepted := range state.Owners {
		for _, token := range accepted.Document.Tokens {
			index.Tokens[token.Hash] = Bearer{Account: name, Name: token.Name, Role: token.Role}
		}
	}
	return index
}

// Document returns the client account's document in force, or nil.
func (i *ConfigurationIndex) Document(account string) *configuration.Document {
	accepted, ok := i.State.Owners[account]
	if !ok {
		return nil
	}
	return &accepted.Document
}

// Load returns the configuration in force; it is never nil.
func (c *Configuration) Load() *ConfigurationIndex {
	return c.current.Load()
}

// Store puts a configuration in force. An older version breaks an invariant and is dropped.
func (c *Configuration) Store(index *ConfigurationIndex) {
	for {
		current := c.current.Load()
		if current != nil && index.State.Next < current.State.Next {
			invariant.Check(false, "configuration_never_reverts", "offset %d after %d", index.State.Next, current.State.Next)
			return
		}
		if c.current.CompareAndSwap(current, index) {
			return
		}
	}
}

func newEmptyConfiguration() *ConfigurationIndex {
	return NewConfigurationIndex(configuration.NewState())
}
