// Package minion is the HTTP client of a service's endpoints.
package minion
