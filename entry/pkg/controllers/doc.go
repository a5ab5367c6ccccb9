// Package controllers holds the components that read and write the blackboard, one for each concern.
package controllers
