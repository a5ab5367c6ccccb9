package settings

import (
	"bytes"
	"strings"

	"github.com/tailscale/hujson"
)

// Position is a place in a text, counted from 1 in lines and bytes.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Locate returns where the value of a JSON pointer (RFC 6901) begins in JSON with comments, or the innermost value around it
// that is there.
func Locate(raw []byte, pointer string) Position {
	tree, err := hujson.Parse(raw)
	if err != nil {
		return Position{Line: 1, Column: 1}
	}
	for {
		if value := tree.Find(pointer); value != nil {
			return positionOf(raw, value.StartOffset)
		}
		pointer = pointer[:max(0, strings.LastIndexByte(pointer, '/'))]
	}
}

func positionOf(raw []byte, offset int) Position {
	before := raw[:min(offset, len(raw))]
	return Position{Line: 1 + bytes.Count(before, []byte("\n")), Column: len(before) - bytes.LastIndexByte(before, '\n')}
}
