// Package settings reads JSON files with comments strictly: an unknown key is an error.
package settings
