// Package controllers holds the parts that read and write the blackboard, one for each concern.
package controllers
