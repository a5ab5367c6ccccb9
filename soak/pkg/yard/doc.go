// Package yard runs entry hosts as processes beside stand-ins of the platform, with relays between them.
package yard
