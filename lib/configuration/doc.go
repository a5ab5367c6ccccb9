// Package configuration lets operators build, check and print an owner's configuration, and folds the log's records into the accepted state.
package configuration
