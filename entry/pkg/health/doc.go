// Package health ejects back ends that fail and keeps the retry budget.
package health
