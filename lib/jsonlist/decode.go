package jsonlist

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrTooLong says that an array has more elements than allowed.
var ErrTooLong = errors.New("the list is too long")

// Decode decodes an array of at most the given number of elements, or null; it returns ErrTooLong as soon as there is one more.
// An unknown key of an element is an error if strict is set.
func Decode[T any](raw []byte, most int, strict bool) ([]T, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if strict {
		decoder.DisallowUnknownFields()
	}
	switch opening, err := decoder.Token(); {
	case err != nil:
		return nil, errors.WithStack(err)
	case opening == nil:
		return nil, nil
	case opening != json.Delim('['):
		return nil, errors.New("it is no list")
	}
	list := []T{}
	for decoder.More() {
		if len(list) == most {
			return nil, errors.WithStack(ErrTooLong)
		}
		var element T
		if err := decoder.Decode(&element); err != nil {
			return nil, errors.WithStack(err)
		}
		list = append(list, element)
	}
	return list, nil
}
