// Package operator speaks to the operators' API of one entry host.
package operator
