package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// decoding takes names that are not UTF-8, which an earlier version may pass on from a store: the receiver leaves them out,
// instead of refusing all that the message holds.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// encoding encodes messages as CBOR.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	raw, err := cbor.Marshal(message)
	return raw, errors.WithStack(err)
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(raw []byte, message drpc.Message) error {
	return errors.WithStack(decoding.Unmarshal(raw, message))
}
