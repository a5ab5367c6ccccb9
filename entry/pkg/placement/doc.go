// Package placement chooses the back end for a task among those that have a free slot.
package placement
