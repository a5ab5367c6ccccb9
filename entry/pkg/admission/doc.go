// Package admission refuses work whose predicted wait passes its deadline.
package admission
