package settings

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/jsontime"
)

const minKeyBytes = 16

// Check returns an error that names the first wrong key and what to give instead.
func (s *Settings) Check() error {
	if s.Name == "" {
		return errors.New("name is empty; give the host's name in the host list")
	}
	if s.FailureDomain == "" {
		return errors.New("place is empty; give the host's failure domain in the host list")
	}
	if s.Size < 1 {
		return errors.Errorf("size is %d; give 1 or more", s.Size)
	}
	if s.Limits.Memory < 1 {
		return errors.Errorf("limits.memory is %d; give 1 or more", s.Limits.Memory)
	}
	if s.Limits.Descriptors < 1 {
		return errors.Errorf("limits.descriptors is %d; give 1 or more", s.Limits.Descriptors)
	}
	if s.Limits.Jobs < 0 {
		return errors.Errorf("limits.jobs is %d; give 0 or more", s.Limits.Jobs)
	}
	if err := s.Clients.Check(); err != nil {
		return errors.Wrap(err, "clients")
	}
	if err := s.Peers.Check(); err != nil {
		return errors.Wrap(err, "peers")
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if err := s.checkTicket(); err != nil {
		return err
	}
	if err := s.checkPolicy(); err != nil {
		return err
	}
	if err := s.checkLease(); err != nil {
		return err
	}
	return s.checkLog()
}

func (s *Settings) checkAddresses() error {
	addresses := []struct{ key, value string }{
		{"caller.listen", s.Caller.Listen},
		{"operator.listen", s.Operator.Listen},
		{"peer.listen", s.Peer.Listen},
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return errors.Errorf("%s is %q; give host:port", address.key, address.value)
		}
	}
	if err := s.checkTLS(); err != nil {
		return err
	}
	urls := []struct{ key, value string }{
		{"platform.log", s.Platform.Log},
		{"platform.hosts", s.Platform.Hosts},
	}
	for _, url := range urls {
		if !strings.HasPrefix(url.value, "http://") && !strings.HasPrefix(url.value, "https://") {
			return errors.Errorf("%s is %q; give a URL such as http://127.0.0.1:7000", url.key, url.value)
		}
	}
	return nil
}

func (s *Settings) checkTLS() error {
	for _, one := range []struct {
		key   string
		files TLS
	}{
		{"caller.tls", s.Caller.TLS},
		{"operator.tls", s.Operator.TLS},
		{"peer.tls", s.Peer.TLS},
	} {
		if (one.files.Cert == "") != (one.files.Key == "") {
			return errors.Errorf("%s names only one of cert and key; give both or none", one.key)
		}
		if one.files.Trust != "" && one.files.Cert == "" {
			return errors.Errorf("%s.trust needs cert and key beside it", one.key)
		}
	}
	if s.Peer.TLS.Cert != "" && s.Peer.TLS.Trust == "" {
		return errors.New("peer.tls.trust is empty; name the authorities of the other hosts' certificates")
	}
	return nil
}

func (s *Settings) checkTicket() error {
	if len(s.Ticket.Key) < minKeyBytes {
		return errors.Errorf("ticket.key has %d characters; give at least %d", len(s.Ticket.Key), minKeyBytes)
	}
	if s.Ticket.Bytes < 1 {
		return errors.Errorf("ticket.bytes is %d; give 1 or more", s.Ticket.Bytes)
	}
	if s.Ticket.Entries < 1 {
		return errors.Errorf("ticket.entries is %d; give 1 or more", s.Ticket.Entries)
	}
	return checkPositive([]namedDuration{
		{"ticket.window", s.Ticket.Window},
		{"ticket.keep", s.Ticket.Keep},
	})
}

func (s *Settings) checkPolicy() error {
	choices := []struct {
		key, value string
		allowed    []string
	}{
		{"policy.lending", s.Policy.Lending, []string{"loans", "fixed", "shared"}},
		{"policy.placement", s.Policy.Placement, []string{"fastest", "random", "robin", "least"}},
		{"policy.admission", s.Policy.Admission, []string{"predict", "none"}},
		{"policy.queue", s.Policy.Queue, []string{"fair", "single"}},
	}
	for _, choice := range choices {
		if err := checkChoice(choice.key, choice.value, choice.allowed); err != nil {
			return err
		}
	}
	shares := []struct {
		key   string
		value float64
	}{
		{"policy.retries", s.Policy.Retries},
		{"policy.share", s.Policy.Share},
		{"policy.eject", s.Policy.Eject},
	}
	for _, share := range shares {
		if share.value < 0 || share.value > 1 {
			return errors.Errorf("%s is %v; give a share from 0 to 1", share.key, share.value)
		}
	}
	if s.Policy.Queued < 1 {
		return errors.Errorf("policy.queued is %d; give 1 or more", s.Policy.Queued)
	}
	return checkPositive([]namedDuration{
		{"policy.deadline", s.Policy.Deadline},
		{"policy.timeout", s.Policy.Timeout},
		{"policy.long", s.Policy.Long},
	})
}

func (s *Settings) checkLease() error {
	if err := checkPositive([]namedDuration{
		{"lease.length", s.Lease.Length},
		{"lease.margin", s.Lease.Margin},
		{"lease.loan", s.Lease.Loan},
		{"lease.heartbeat", s.Lease.Heartbeat},
	}); err != nil {
		return err
	}
	if s.Lease.Margin*2 > s.Lease.Length {
		return errors.Errorf("lease.margin is %s; give at most half of lease.length (%s)", s.Lease.Margin, s.Lease.Length)
	}
	return nil
}

func (s *Settings) checkLog() error {
	if err := checkChoice("log.level", s.Log.Level, []string{"debug", "info", "warn", "error"}); err != nil {
		return err
	}
	return checkChoice("log.format", s.Log.Format, []string{"text", "json"})
}

func checkChoice(key, value string, allowed []string) error {
	if !slices.Contains(allowed, value) {
		return errors.Errorf("%s is %q; give one of %s", key, value, strings.Join(allowed, ", "))
	}
	return nil
}

type namedDuration struct {
	key   string
	value jsontime.Duration
}

func checkPositive(durations []namedDuration) error {
	for _, duration := range durations {
		if time.Duration(duration.value) <= 0 {
			return errors.Errorf("%s is %s; give more than 0s", duration.key, duration.value)
		}
	}
	return nil
}
