package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// encoding encodes messages as CBOR.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	raw, err := cbor.Marshal(message)
	return raw, errors.WithStack(err)
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(raw []byte, message drpc.Message) error {
	return errors.WithStack(cbor.Unmarshal(raw, message))
}
