package peer

import (
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	// maxNameBytes is the size of the longest name; names are sent in each heartbeat, and kept by each host.
	maxNameBytes = 255
	// maxHostNameBytes is the size of the longest host name that can be resolved.
	maxHostNameBytes = 253
)

// hostName is a plain host name, fully qualified or not. One that ends in a number is an address that is not valid.
var hostName = regexp.MustCompile(`^(?:[0-9A-Za-z_](?:[0-9A-Za-z_-]{0,61}[0-9A-Za-z_])?\.)*[0-9A-Za-z_](?:[0-9A-Za-z_-]{0,61}[0-9A-Za-z_])?\.?$`)

// CheckName returns an error unless the text can name a worker, a host, a group or a failure domain, in messages, headers
// and logs alike.
func CheckName(name string) error {
	if name == "" {
		return errors.New("it is empty")
	}
	return checkText(name)
}

// checkText returns an error unless the text is empty or can be a name. The replacement character stands for bytes that
// were not UTF-8, so that several names would read the same.
func checkText(text string) error {
	switch {
	case len(text) > maxNameBytes:
		return errors.Errorf("%.32q... has %d bytes, %d at most are allowed", text, len(text), maxNameBytes)
	case strings.ContainsRune(text, utf8.RuneError):
		return errors.Errorf("%q is not UTF-8", text)
	case strings.ContainsFunc(text, unicode.IsControl):
		return errors.Errorf("%q has control characters", text)
	default:
		return nil
	}
}

// CheckAddress returns an error unless the text is host:port, with an IP address or a plain host name, and a port that can
// be called.
func CheckAddress(address string) error {
	if err := CheckName(address); err != nil {
		return errors.Wrap(err, "address")
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Errorf("address %q is not host:port", address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return errors.Errorf("address %q has no port from 1 to 65535", address)
	}
	ip, err := netip.ParseAddr(host)
	if (err != nil && !isHostName(host)) || ip.Zone() != "" { // a zone has a meaning only where it was written
		return errors.Errorf("address %q names no host that others can call", address)
	}
	return nil
}

func isHostName(host string) bool {
	last := host[strings.LastIndexByte(strings.TrimSuffix(host, "."), '.')+1:]
	_, err := strconv.ParseUint(strings.TrimSuffix(last, "."), 0, 64)
	return err != nil && len(host) <= maxHostNameBytes && hostName.MatchString(host)
}
