package config

import "fmt"

// Consequences returns warnings for operators about a change, one line each:
// models and services that lose slots or have no eligible target, and customers
// that have no key. Targets and keys that were already missing before the change
// are reported too.
func Consequences(from, to *Config) []string {
	var lines []string
	before, after := from.eligibleSlots(), to.eligibleSlots()
	for _, name := range to.servedNames() {
		switch {
		case after[name] == 0 && before[name] > 0:
			lines = append(lines, fmt.Sprintf("%s is left without any target: its requests will be refused", name))
		case after[name] == 0:
			lines = append(lines, fmt.Sprintf("%s has no target yet: its requests will be refused", name))
		case after[name] < before[name]:
			lines = append(lines, fmt.Sprintf("%s shrinks from %d to %d slots", name, before[name], after[name]))
		}
	}
	for i := range to.Customers {
		if cu := &to.Customers[i]; len(cu.KeyDigests) == 0 {
			lines = append(lines, fmt.Sprintf("customer %q has no key: it cannot call", cu.Name))
		}
	}
	return lines
}

// servedNames returns the names of all models, followed by those of all services.
func (c *Config) servedNames() []string {
	var names []string
	for i := range c.Models {
		names = append(names, c.Models[i].Name)
	}
	for i := range c.Services {
		names = append(names, c.Services[i].Name)
	}
	return names
}

// eligibleSlots returns the number of slots of eligible targets by name of the
// model or service.
func (c *Config) eligibleSlots() map[string]uint32 {
	slots := make(map[string]uint32)
	for i := range c.Targets {
		if t := &c.Targets[i]; c.Eligible(t) {
			slots[t.Serves] += t.Slots
		}
	}
	return slots
}

// Eligible reports whether a target may receive new requests according to the
// configuration: it is not draining, and the version of a target of a model equals
// the model's version.
func (c *Config) Eligible(t *Target) bool {
	if t.Leaving {
		return false
	}
	i, isModel := findNamed(c.Models, t.Serves)
	return !isModel || c.Models[i].ModelVersion == t.ModelVersion
}
