// Package admission refuses jobs whose predicted delay would miss their deadline.
package admission
