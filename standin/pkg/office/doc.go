// Package office runs the stand-ins of a whole office in one process: the log, the host list, minions and workers.
package office
