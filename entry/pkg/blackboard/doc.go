// Package blackboard holds the state that controllers read and write, as plain structs.
package blackboard
