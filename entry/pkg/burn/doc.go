// Package burn counts answers against the objectives of the configuration in bounded memory and reports their burn rates.
package burn
