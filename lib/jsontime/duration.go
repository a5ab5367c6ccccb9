package jsontime

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that JSON holds as text with a unit.
type Duration time.Duration

// MarshalText returns the duration as text, such as "1.5s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses text such as "250ms"; a number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration; write it with a unit, such as \"250ms\" or \"2s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the duration as text, such as "1.5s".
func (d Duration) String() string {
	return time.Duration(d).String()
}
