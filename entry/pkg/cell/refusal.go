package cell

import "strings"

// MayStartJobLate reports whether a worker may carry out an earlier start of a task of the job with that identifier, which must
// not be refused then. Names of tasks begin with their job's identifier and a dot.
func (c *Cell) MayStartJobLate(id string) bool {
	for task := range c.unsettled.byTask {
		if strings.HasPrefix(task, id+".") {
			return true
		}
	}
	return false
}
