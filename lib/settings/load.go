package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Load reads the file at path into target, which holds the defaults; the error names the file and the key.
func Load(path string, target any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "cannot read the settings")
	}
	if err := Parse(raw, target); err != nil {
		return errors.Wrapf(err, "settings file %s", path)
	}
	return nil
}

// Parse reads JSON with comments into target, which holds the defaults; an unknown key is an error.
func Parse(raw []byte, target any) error {
	standard, err := hujson.Standardize(raw)
	if err != nil {
		return errors.Wrap(err, "not JSON with comments")
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.WithStack(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("text follows the JSON value")
	}
	return nil
}
