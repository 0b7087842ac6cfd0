// Package config is the fleet's configuration: which customers, models,
// services, targets and hosts exist.
//
// A Config is an immutable value. A change produces a new Config with the next
// version; the old one stays valid for whoever still reads it. The rules that
// every version keeps (unique names, known references, ranges) are in
// validate.go, the comparison of versions in diff.go and the warnings shown
// to operators in consequence.go.
//
// # Usage
//
//	next, err := cur.Apply(changes)
//	if err != nil {
//		var invalid *config.InvalidError
//		errors.As(err, &invalid) // names the field
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
	// Version grows by one with every accepted change; 0 is the empty
	// configuration that no change has touched.
	Version uint64 `json:"version"`
	// NextNumber is the number the next new object receives. Numbers are
	// never used twice, so they identify objects in messages between routers.
	NextNumber uint32     `json:"next_number"`
	Customers  []Customer `json:"customers,omitempty"`
	Models     []Model    `json:"models,omitempty"`
	Services   []Service  `json:"services,omitempty"`
	Targets    []Target   `json:"targets,omitempty"`
	Hosts      []Host     `json:"hosts,omitempty"`
}

// Customer is an organisation that shares the capacity.
type Customer struct {
	Name   string `json:"name"`
	Number uint32 `json:"number,omitempty"`
	// Weight is the customer's part relative to the others, 1 to 1000.
	Weight uint32 `json:"weight"`
	// KeyDigests are hexadecimal SHA-256 digests of the customer's API keys.
	KeyDigests []string `json:"key_digests,omitempty"`
}

// Model is a language model that engines serve.
type Model struct {
	Name   string `json:"name"`
	Number uint32 `json:"number,omitempty"`
	// ModelVersion is the version that engines must serve to receive requests.
	ModelVersion string `json:"model_version"`
}

// Service is a plain HTTP service behind the fleet.
type Service struct {
	Name   string `json:"name"`
	Number uint32 `json:"number,omitempty"`
	// Once are the calls that may not be repeated.
	Once []CallRule `json:"once,omitempty"`
}

// CallRule matches calls by method and path prefix.
type CallRule struct {
	// Method is an HTTP method; "*" matches every method.
	Method string `json:"method"`
	// PathPrefix starts with a slash and is relative to the service.
	PathPrefix string `json:"path_prefix"`
}

// Target is one engine worker or one instance of a service.
type Target struct {
	Name   string `json:"name"`
	Number uint32 `json:"number,omitempty"`
	// Serves is the name of a model or of a service.
	Serves string `json:"serves"`
	// ModelVersion is the version a target of a model has loaded or, if it takes
	// orders, is to load.
	ModelVersion string         `json:"model_version,omitempty"`
	Address      netip.AddrPort `json:"address"`
	DataCentre   string         `json:"data_centre"`
	// Slots is the number of requests the target runs at once, 1 to 4096.
	Slots uint32 `json:"slots"`
	// TakesOrders says that the target loads the version it is ordered to.
	TakesOrders bool `json:"takes_orders,omitempty"`
	// Leaving targets receive no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Host is an entry host that runs a router.
type Host struct {
	Name       string `json:"name"`
	Number     uint32 `json:"number,omitempty"`
	DataCentre string `json:"data_centre"`
	// Peer is the address of the router's datagram socket.
	Peer netip.AddrPort `json:"peer"`
	// Leaving hosts are about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// RunsOnce reports whether a call of the service may not be repeated.
func (s *Service) RunsOnce(method, path string) bool {
	return slices.ContainsFunc(s.Once, func(r CallRule) bool { return r.matches(method, path) })
}

func (r CallRule) matches(method, path string) bool {
	if r.Method != "*" && r.Method != method {
		return false
	}
	return len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix
}

// Encode returns the canonical JSON form and its hexadecimal SHA-256 digest.
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

// Decode parses an encoded configuration after checking it against digest,
// and validates it. The error is an *InvalidError or a JSON error.
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

// Model returns the model of a name, or nil.
func (c *Config) Model(name string) *Model {
	if i, found := findNamed(c.Models, name); found {
		return &c.Models[i]
	}
	return nil
}

// Service returns the service of a name, or nil.
func (c *Config) Service(name string) *Service {
	if i, found := findNamed(c.Services, name); found {
		return &c.Services[i]
	}
	return nil
}
