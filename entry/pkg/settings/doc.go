// Package settings holds the entry daemon's user-facing settings, their defaults and their checks.
package settings
