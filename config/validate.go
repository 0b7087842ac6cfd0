package config

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
)

// Limits of configured values. MaxNameLength is in bytes and applies to model
// versions too; MaxKeys is the number of API keys of one customer.
const (
	MaxWeight     = 1000
	MaxSlots      = 4096
	MaxKeys       = 8
	MaxNameLength = 64
)

// InvalidError reports the field of an object that violates a rule. Object is empty
// if the error concerns a whole request or configuration.
type InvalidError struct {
	Object Object
	Field  string
	Reason string
}

// Error returns the object, if any, followed by the field and the reason.
func (e *InvalidError) Error() string {
	if e.Object.Kind == "" {
		return e.Field + " " + e.Reason
	}
	return fmt.Sprintf("%s: %s %s", e.Object, e.Field, e.Reason)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

func (c *Config) validate() error {
	steps := []func() error{
		c.validateCustomers, c.validateModels, c.validateServices, c.validateTargets, c.validateHosts,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func validName(o Object) error {
	if len(o.Name) > MaxNameLength || !namePattern.MatchString(o.Name) {
		return &InvalidError{Object: o, Field: "name",
			Reason: fmt.Sprintf("must match %s and have at most %d bytes", namePattern, MaxNameLength)}
	}
	return nil
}

func (c *Config) validateCustomers() error {
	owners := make(map[string]string)
	for i := range c.Customers {
		cu := &c.Customers[i]
		o := Object{Kind: KindCustomer, Name: cu.Name}
		if err := validName(o); err != nil {
			return err
		}
		if cu.Weight < 1 || cu.Weight > MaxWeight {
			return &InvalidError{Object: o, Field: "weight", Reason: fmt.Sprintf("must be 1 to %d", MaxWeight)}
		}
		if len(cu.KeyDigests) > MaxKeys {
			return &InvalidError{Object: o, Field: "key_digests", Reason: fmt.Sprintf("must have at most %d entries", MaxKeys)}
		}
		if err := validDigests(o, cu.KeyDigests, owners); err != nil {
			return err
		}
	}
	return nil
}

// validDigests checks that each digest is well formed and that no key is configured
// twice: with a key shared by two customers, the caller could not be identified.
// It adds the digests to owners, which maps each digest to its customer's name.
func validDigests(o Object, digests []string, owners map[string]string) error {
	for _, d := range digests {
		if sum, err := hex.DecodeString(d); err != nil || len(sum) != 32 {
			return &InvalidError{Object: o, Field: "key_digests", Reason: "must be hexadecimal SHA-256 digests"}
		}
		if owner, taken := owners[d]; taken {
			return &InvalidError{Object: o, Field: "key_digests", Reason: fmt.Sprintf("has a key of customer %q", owner)}
		}
		owners[d] = o.Name
	}
	return nil
}

func (c *Config) validateModels() error {
	for i := range c.Models {
		m := &c.Models[i]
		o := Object{Kind: KindModel, Name: m.Name}
		if err := validName(o); err != nil {
			return err
		}
		if m.ModelVersion == "" || len(m.ModelVersion) > MaxNameLength {
			return &InvalidError{Object: o, Field: "model_version", Reason: fmt.Sprintf("must have 1 to %d bytes", MaxNameLength)}
		}
	}
	return nil
}

func (c *Config) validateServices() error {
	for i := range c.Services {
		s := &c.Services[i]
		o := Object{Kind: KindService, Name: s.Name}
		if err := validName(o); err != nil {
			return err
		}
		if _, isModel := findNamed(c.Models, s.Name); isModel {
			return &InvalidError{Object: o, Field: "name", Reason: "is the name of a model"}
		}
		bad := func(r CallRule) bool { return r.Method == "" || len(r.PathPrefix) == 0 || r.PathPrefix[0] != '/' }
		if slices.ContainsFunc(s.Once, bad) {
			return &InvalidError{Object: o, Field: "once", Reason: "needs a method and a path that starts with a slash"}
		}
	}
	return nil
}

func (c *Config) validateTargets() error {
	for i := range c.Targets {
		t := &c.Targets[i]
		if err := c.validateTarget(t); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateTarget(t *Target) error {
	o := Object{Kind: KindTarget, Name: t.Name}
	if err := validName(o); err != nil {
		return err
	}
	_, isModel := findNamed(c.Models, t.Serves)
	_, isService := findNamed(c.Services, t.Serves)
	switch {
	case !isModel && !isService:
		return &InvalidError{Object: o, Field: "serves", Reason: fmt.Sprintf("names no model or service: %q", t.Serves)}
	case isModel && t.ModelVersion == "":
		return &InvalidError{Object: o, Field: "model_version", Reason: "must be set for a target of a model"}
	case isService && t.ModelVersion != "":
		return &InvalidError{Object: o, Field: "model_version", Reason: "must be empty for a target of a service"}
	case isService && t.TakesOrders:
		return &InvalidError{Object: o, Field: "takes_orders", Reason: "must not be set for a target of a service"}
	case !t.Address.IsValid() || t.Address.Port() == 0:
		return &InvalidError{Object: o, Field: "address", Reason: "must be an IP address and a port"}
	case t.DataCentre == "":
		return &InvalidError{Object: o, Field: "data_centre", Reason: "must be set"}
	case t.Slots < 1 || t.Slots > MaxSlots:
		return &InvalidError{Object: o, Field: "slots", Reason: fmt.Sprintf("must be 1 to %d", MaxSlots)}
	}
	return nil
}

func (c *Config) validateHosts() error {
	for i := range c.Hosts {
		h := &c.Hosts[i]
		o := Object{Kind: KindHost, Name: h.Name}
		if err := validName(o); err != nil {
			return err
		}
		if h.DataCentre == "" {
			return &InvalidError{Object: o, Field: "data_centre", Reason: "must be set"}
		}
		if !h.Peer.IsValid() || h.Peer.Port() == 0 {
			return &InvalidError{Object: o, Field: "peer", Reason: "must be an IP address and a port"}
		}
	}
	return nil
}
