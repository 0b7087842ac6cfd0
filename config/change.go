package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Action is the operation that a change performs on its object.
type Action string

// The valid values of Change.Action.
const (
	ActionPut    Action = "put"
	ActionRemove Action = "remove"
)

// Change creates, replaces or removes one object. For ActionPut, the field that
// corresponds to Kind holds the object; for ActionRemove, Kind and Name identify it.
type Change struct {
	Action   Action    `json:"action"`
	Kind     Kind      `json:"kind"`
	Name     string    `json:"name"`
	Customer *Customer `json:"customer,omitempty"`
	Model    *Model    `json:"model,omitempty"`
	Service  *Service  `json:"service,omitempty"`
	Target   *Target   `json:"target,omitempty"`
	Host     *Host     `json:"host,omitempty"`
}

// Object identifies a configured object by kind and name across versions.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the kind and the quoted name.
func (o Object) String() string { return string(o.Kind) + ` "` + o.Name + `"` }

// Put returns a change that creates obj or replaces the object of the same kind
// and name.
func Put[T Customer | Model | Service | Target | Host](obj T) Change {
	ch := Change{Action: ActionPut}
	switch o := any(obj).(type) {
	case Customer:
		ch.Kind, ch.Name, ch.Customer = KindCustomer, o.Name, &o
	case Model:
		ch.Kind, ch.Name, ch.Model = KindModel, o.Name, &o
	case Service:
		ch.Kind, ch.Name, ch.Service = KindService, o.Name, &o
	case Target:
		ch.Kind, ch.Name, ch.Target = KindTarget, o.Name, &o
	case Host:
		ch.Kind, ch.Name, ch.Host = KindHost, o.Name, &o
	}
	return ch
}

// Remove returns a change that removes the named object.
func Remove(kind Kind, name string) Change {
	return Change{Action: ActionRemove, Kind: kind, Name: name}
}

// Object returns the identity of the changed object.
func (ch *Change) Object() Object { return Object{Kind: ch.Kind, Name: ch.Name} }

// DecodeChange parses the JSON encoding of a change. Unknown fields are rejected.
// The error is an *InvalidError.
func DecodeChange(body []byte) (Change, error) {
	var ch Change
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&ch); err != nil {
		return Change{}, &InvalidError{Field: "change", Reason: err.Error()}
	}
	return ch, nil
}

// Apply returns the next version of c with the changes applied in order. The
// error is an *InvalidError that names the offending field; c is not modified.
func (c *Config) Apply(changes []Change) (*Config, error) {
	if len(changes) == 0 {
		return nil, &InvalidError{Field: "changes", Reason: "must not be empty"}
	}
	next := c.clone()
	next.Version = c.Version + 1
	for i := range changes {
		if err := next.apply(&changes[i]); err != nil {
			return nil, err
		}
	}
	if err := next.validate(); err != nil {
		return nil, err
	}
	return next, nil
}

func (c *Config) clone() *Config {
	n := *c
	n.Customers = slices.Clone(c.Customers)
	n.Models = slices.Clone(c.Models)
	n.Services = slices.Clone(c.Services)
	n.Targets = slices.Clone(c.Targets)
	n.Hosts = slices.Clone(c.Hosts)
	return &n
}

func (c *Config) apply(ch *Change) error {
	if ch.Action != ActionPut && ch.Action != ActionRemove {
		return &InvalidError{Object: ch.Object(), Field: "action", Reason: `must be "put" or "remove"`}
	}
	if ch.Action == ActionRemove {
		return c.remove(ch.Object())
	}
	return c.put(ch)
}

func (c *Config) remove(o Object) error {
	var found bool
	switch o.Kind {
	case KindCustomer:
		c.Customers, found = removeNamed(c.Customers, o.Name)
	case KindModel:
		c.Models, found = removeNamed(c.Models, o.Name)
	case KindService:
		c.Services, found = removeNamed(c.Services, o.Name)
	case KindTarget:
		c.Targets, found = removeNamed(c.Targets, o.Name)
	case KindHost:
		c.Hosts, found = removeNamed(c.Hosts, o.Name)
	default:
		return &InvalidError{Object: o, Field: "kind", Reason: "is unknown"}
	}
	if !found {
		return &InvalidError{Object: o, Field: "name", Reason: "does not exist"}
	}
	return nil
}

func (c *Config) put(ch *Change) error {
	switch {
	case ch.Kind == KindCustomer && ch.Customer != nil:
		c.Customers = putNamed(c, c.Customers, *ch.Customer)
	case ch.Kind == KindModel && ch.Model != nil:
		c.Models = putNamed(c, c.Models, *ch.Model)
	case ch.Kind == KindService && ch.Service != nil:
		c.Services = putNamed(c, c.Services, *ch.Service)
	case ch.Kind == KindTarget && ch.Target != nil:
		c.Targets = putNamed(c, c.Targets, *ch.Target)
	case ch.Kind == KindHost && ch.Host != nil:
		c.Hosts = putNamed(c, c.Hosts, *ch.Host)
	default:
		return &InvalidError{Object: ch.Object(), Field: "kind", Reason: "is unknown or its object is missing"}
	}
	return nil
}

// named is implemented by pointers to all types of configured objects.
type named[T any] interface {
	*T
	objectName() string
	objectNumber() *uint32
}

func (c *Customer) objectName() string    { return c.Name }
func (c *Customer) objectNumber() *uint32 { return &c.Number }
func (m *Model) objectName() string       { return m.Name }
func (m *Model) objectNumber() *uint32    { return &m.Number }
func (s *Service) objectName() string     { return s.Name }
func (s *Service) objectNumber() *uint32  { return &s.Number }
func (t *Target) objectName() string      { return t.Name }
func (t *Target) objectNumber() *uint32   { return &t.Number }
func (h *Host) objectName() string        { return h.Name }
func (h *Host) objectNumber() *uint32     { return &h.Number }

func findNamed[T any, P named[T]](list []T, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(t T, n string) int {
		return strings.Compare(P(&t).objectName(), n)
	})
}

func removeNamed[T any, P named[T]](list []T, name string) ([]T, bool) {
	i, found := findNamed[T, P](list, name)
	if !found {
		return list, false
	}
	return slices.Delete(list, i, i+1), true
}

// putNamed inserts obj or replaces the object of the same name. A replacement
// keeps the number of its predecessor; a new object is assigned the next number.
func putNamed[T any, P named[T]](c *Config, list []T, obj T) []T {
	i, found := findNamed[T, P](list, P(&obj).objectName())
	if found {
		*P(&obj).objectNumber() = *P(&list[i]).objectNumber()
		list[i] = obj
		return list
	}
	c.NextNumber++
	*P(&obj).objectNumber() = c.NextNumber
	return slices.Insert(list, i, obj)
}
