// Package config defines the fleet's configuration: the customers, models,
// services, targets and hosts that exist.
//
// A Config is an immutable value. A change produces a new Config with the next
// version; the old one remains valid for its current readers. The rules that
// every version satisfies (valid names, no service named like a model, existing
// references, value ranges) are in validate.go, the comparison of versions is in
// diff.go and the warnings shown to operators are in consequence.go. Names are
// unique within a kind because Apply replaces an object of the same name.
//
// # Usage
//
//	next, err := cur.Apply(changes)
//	if err != nil {
//		var invalid *config.InvalidError
//		errors.As(err, &invalid) // invalid.Field is the offending field
//	}
//	body, digest := next.Encode()
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"slices"
)

// Kind is the kind of a configured object.
type Kind string

// The kinds of configured objects.
const (
	KindCustomer Kind = "customer"
	KindModel    Kind = "model"
	KindService  Kind = "service"
	KindTarget   Kind = "target"
	KindHost     Kind = "host"
)

// Config is one version of the fleet's configuration. Slices are sorted by
// name. It must not be modified after Apply or Decode returned it.
type Config struct {
	// Version increases by one with each successful Apply; 0 is the initial,
	// empty configuration.
	Version uint64 `json:"version"`
	// NextNumber is the number that was assigned last; the next new object
	// receives the number after it. Numbers are never reused, so they identify
	// objects in messages between routers.
	NextNumber uint32     `json:"next_number"`
	Customers  []Customer `json:"customers,omitempty"`
	Models     []Model    `json:"models,omitempty"`
	Services   []Service  `json:"services,omitempty"`
	Targets    []Target   `json:"targets,omitempty"`
	Hosts      []Host     `json:"hosts,omitempty"`
}

// Customer is an organisation that shares the fleet's capacity with others.
type Customer struct {
	Name   string `json:"name"`
	Number uint32 `json:"number,omitempty"`
	// Weight is the customer's share of the capacity relative to the weights of
	// the other customers, 1 to 1000.
	Weight uint32 `json:"weight"`
	// KeyDigests are hexadecimal SHA-256 digests of the customer's API keys.
	KeyDigests []string `json:"key_digests,omitempty"`
}

// Model is a language model that is served by engines.
type Model struct {
	Name   string `json:"name"`
	Number uint32 `json:"number,omitempty"`
	// ModelVersion is the version that an engine must serve to be eligible for
	// requests.
	ModelVersion string `json:"model_version"`
}

// Service is a plain HTTP service that is reached through the fleet.
type Service struct {
	Name   string `json:"name"`
	Number uint32 `json:"number,omitempty"`
	// Once matches the calls that must not be retried because the service
	// must run them at most once.
	Once []CallRule `json:"once,omitempty"`
}

// CallRule matches calls to a service by method and path prefix.
type CallRule struct {
	// Method is an HTTP method; "*" matches every method.
	Method string `json:"method"`
	// PathPrefix starts with a slash and is relative to the root of the service.
	PathPrefix string `json:"path_prefix"`
}

// Target is a back end: one engine worker or one instance of a service.
type Target struct {
	Name   string `json:"name"`
	Number uint32 `json:"number,omitempty"`
	// Serves is the name of the model or service that the target serves.
	Serves string `json:"serves"`
	// ModelVersion is the version that a target of a model has loaded or, if
	// TakesOrders is set, should load. It is empty for a target of a service.
	ModelVersion string         `json:"model_version,omitempty"`
	Address      netip.AddrPort `json:"address"`
	DataCentre   string         `json:"data_centre"`
	// Slots is the number of requests that the target runs concurrently, 1 to 4096.
	Slots uint32 `json:"slots"`
	// TakesOrders marks a target that can be ordered to load a model version.
	TakesOrders bool `json:"takes_orders,omitempty"`
	// Leaving marks a draining target, which receives no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Host is an entry host, which runs a router.
type Host struct {
	Name       string `json:"name"`
	Number     uint32 `json:"number,omitempty"`
	DataCentre string `json:"data_centre"`
	// Peer is the address of the router's datagram socket.
	Peer netip.AddrPort `json:"peer"`
	// Leaving marks a host whose router is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// AtMostOnce reports whether a call to the service must not be retried.
func (s *Service) AtMostOnce(method, path string) bool {
	return slices.ContainsFunc(s.Once, func(r CallRule) bool { return r.matches(method, path) })
}

func (r CallRule) matches(method, path string) bool {
	if r.Method != "*" && r.Method != method {
		return false
	}
	return len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix
}

// Encode returns the canonical JSON encoding of c and its hexadecimal SHA-256 digest.
func (c *Config) Encode() (body []byte, digest string) {
	body, err := json.Marshal(c)
	if err != nil {
		panic("config: all field types marshal: " + err.Error())
	}
	return body, Digest(body)
}

// Digest returns the hexadecimal SHA-256 digest of an encoded configuration
// or of an API key.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Decode verifies that body has the given digest, parses it and validates the
// configuration. The error is an *InvalidError or a JSON error.
func Decode(body []byte, digest string) (*Config, error) {
	if Digest(body) != digest {
		return nil, &InvalidError{Field: "digest", Reason: "does not match the body"}
	}
	var c Config
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Model returns the model with the given name, or nil if there is none.
func (c *Config) Model(name string) *Model {
	if i, found := findNamed(c.Models, name); found {
		return &c.Models[i]
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (c *Config) Service(name string) *Service {
	if i, found := findNamed(c.Services, name); found {
		return &c.Services[i]
	}
	return nil
}
