// Package dialer opens TCP connections that notice when the other end is silent.
package dialer
