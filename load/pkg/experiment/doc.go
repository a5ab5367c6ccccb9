// Package experiment holds the settings of one experiment: the fleet, the load, the faults by time and the policy of the entry hosts.
package experiment
