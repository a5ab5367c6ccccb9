// Package certificate reads TLS key pairs and trusted authorities from files, and again when the files change.
package certificate
