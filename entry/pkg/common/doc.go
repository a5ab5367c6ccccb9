// Package common holds what nearly every part of the entry daemon needs: the log, the settings and the clock.
package common
