// Package peer speaks to other entry hosts: drpc with CBOR messages, which need no generated code.
package peer
