// Package placement chooses the back end of a task among those with free slots.
package placement
