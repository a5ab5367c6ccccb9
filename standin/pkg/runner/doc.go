// Package runner is a stand-in for the minions of the users' platform, which run tasks under one lease and a token.
package runner
