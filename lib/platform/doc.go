// Package platform holds the wire types of the platform's services: the log, the host list, minions and workers.
package platform
