package fleet

import (
	"fmt"
	"strings"

	"zinccove.example/zinccove/config"
)

// Objects collects the INI text of a configuration.
type Objects struct{ b strings.Builder }

// String returns the text for zinccove apply.
func (o *Objects) String() string { return o.b.String() }

// Customer declares a customer whose API key is its name with "-key".
func (o *Objects) Customer(name string, weight int) {
	fmt.Fprintf(&o.b, "[customer.%s]\nweight = %d\nkey-digest = %s\n", name, weight, config.Digest([]byte(CustomerKey(name))))
}

// CustomerKey returns the API key of a customer declared by Customer.
func CustomerKey(name string) string { return name + "-key" }

// Model declares a model.
func (o *Objects) Model(name, version string) {
	fmt.Fprintf(&o.b, "[model.%s]\nmodel-version = %s\n", name, version)
}

// Service declares a service whose given calls may not be repeated.
func (o *Objects) Service(name, once string) {
	fmt.Fprintf(&o.b, "[service.%s]\nonce = %s\n", name, once)
}

// Engine declares a target of a model.
func (o *Objects) Engine(t *Target, model, version string, slots int) {
	fmt.Fprintf(&o.b, "[target.%s]\nserves = %s\nmodel-version = %s\naddress = %s\ndata-centre = %s\nslots = %d\n",
		t.Name, model, version, t.Address, t.DataCentre, slots)
}

// OrderedEngine declares a target of a model that takes orders.
func (o *Objects) OrderedEngine(t *Target, model, version string, slots int) {
	o.Engine(t, model, version, slots)
	o.b.WriteString("takes-orders = true\n")
}

// Instance declares a target of a service.
func (o *Objects) Instance(t *Target, service string, slots int) {
	fmt.Fprintf(&o.b, "[target.%s]\nserves = %s\naddress = %s\ndata-centre = %s\nslots = %d\n",
		t.Name, service, t.Address, t.DataCentre, slots)
}
