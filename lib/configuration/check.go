package configuration

import (
	"fmt"
	"regexp"

	"github.com/pkg/errors"
)

// Bounds of a document.
const (
	maxWeight     = 1000
	maxNameBytes  = 64
	hashHexDigits = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// Check returns an error that names the first wrong field and how to mend it.
func (d *Document) Check() error {
	if err := checkName("owner", d.Owner); err != nil {
		return err
	}
	if d.Weight < 0 || d.Weight > maxWeight {
		return errors.Errorf("weight is %d; give 1 to %d", d.Weight, maxWeight)
	}
	if d.Quota.Queued < 0 || d.Quota.Running < 0 {
		return errors.New("quota has a negative bound; give 0 for the default")
	}
	if err := d.checkTokens(); err != nil {
		return err
	}
	if err := d.checkPlaces(); err != nil {
		return err
	}
	if err := d.checkServices(); err != nil {
		return err
	}
	if err := d.checkPools(); err != nil {
		return err
	}
	return d.checkObjectives()
}

func (d *Document) checkTokens() error {
	seen := map[string]bool{}
	for i, token := range d.Tokens {
		field := fmt.Sprintf("tokens[%d]", i)
		if err := checkUnique(field, token.Name, seen); err != nil {
			return err
		}
		if token.Role != RoleCaller && token.Role != RoleOperator {
			return errors.Errorf("%s.role is %q; give %q or %q", field, token.Role, RoleCaller, RoleOperator)
		}
		if len(token.Hash) != hashHexDigits {
			return errors.Errorf("%s.hash has %d characters; give the SHA-256 of the token in hexadecimal (%d)", field, len(token.Hash), hashHexDigits)
		}
	}
	return nil
}

func (d *Document) checkPlaces() error {
	seen := map[string]bool{}
	for i, place := range d.Places {
		field := fmt.Sprintf("places[%d]", i)
		if err := checkUnique(field, place.Name, seen); err != nil {
			return err
		}
		if place.Domain == "" {
			return errors.Errorf("%s.domain is empty; give the failure domain's name in the host list", field)
		}
	}
	return nil
}

func (d *Document) checkServices() error {
	seen := map[string]bool{}
	for i, service := range d.Services {
		field := fmt.Sprintf("services[%d]", i)
		if err := checkUnique(field, service.Name, seen); err != nil {
			return err
		}
		if err := d.checkBackends(field, service.Group, service.Places); err != nil {
			return err
		}
		if service.Deadline < 0 || service.Timeout < 0 {
			return errors.Errorf("%s has a negative deadline or timeout; give 0 for the default", field)
		}
	}
	return nil
}

func (d *Document) checkPools() error {
	seen := map[string]bool{}
	for i, pool := range d.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		if err := checkUnique(field, pool.Name, seen); err != nil {
			return err
		}
		if err := d.checkBackends(field, pool.Group, pool.Places); err != nil {
			return err
		}
		if pool.Deadline < 0 || pool.Timeout < 0 {
			return errors.Errorf("%s has a negative deadline or timeout; give 0 for the default", field)
		}
	}
	return nil
}

func (d *Document) checkBackends(field, group string, places []string) error {
	if group == "" {
		return errors.Errorf("%s.group is empty; give the group's name in the host list", field)
	}
	for _, name := range places {
		if d.Place(name) == nil {
			return errors.Errorf("%s.places names %q, which is not among places", field, name)
		}
	}
	return nil
}

func (d *Document) checkObjectives() error {
	seen := map[string]bool{}
	for i, objective := range d.Objectives {
		field := fmt.Sprintf("objectives[%d]", i)
		if err := checkUnique(field, objective.Name, seen); err != nil {
			return err
		}
		if (objective.Service == "") == (objective.Pool == "") {
			return errors.Errorf("%s must name either a service or a pool", field)
		}
		if objective.Service != "" && d.Service(objective.Service) == nil {
			return errors.Errorf("%s.service names %q, which is not among services", field, objective.Service)
		}
		if objective.Pool != "" && d.Pool(objective.Pool) == nil {
			return errors.Errorf("%s.pool names %q, which is not among pools", field, objective.Pool)
		}
		if objective.Target <= 0 || objective.Target >= 1 {
			return errors.Errorf("%s.target is %v; give a share between 0 and 1, such as 0.999", field, objective.Target)
		}
		if objective.Latency < 0 {
			return errors.Errorf("%s.latency is negative", field)
		}
	}
	return nil
}

// Place returns the place of that name, or nil.
func (d *Document) Place(name string) *Place {
	for i := range d.Places {
		if d.Places[i].Name == name {
			return &d.Places[i]
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Pool returns the pool of that name, or nil.
func (d *Document) Pool(name string) *Pool {
	for i := range d.Pools {
		if d.Pools[i].Name == name {
			return &d.Pools[i]
		}
	}
	return nil
}

func checkUnique(field, name string, seen map[string]bool) error {
	if err := checkName(field+".name", name); err != nil {
		return err
	}
	if seen[name] {
		return errors.Errorf("%s.name repeats %q; names are unique in an owner's list", field, name)
	}
	seen[name] = true
	return nil
}

func checkName(field, name string) error {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		return errors.Errorf("%s is %q; give 1 to %d of a-z, 0-9, '.', '_' and '-', starting with a letter or digit", field, name, maxNameBytes)
	}
	return nil
}
