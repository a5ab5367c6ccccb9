// Package peer implements the calls between entry hosts: drpc with CBOR messages, which need no generated code.
package peer
