package config

import "fmt"

// Consequences lists, one line each, what a change takes away: slots of a
// model or service that shrink, and customers or models left without service.
// It is empty for changes that take nothing away.
func Consequences(from, to *Config) []string {
	var lines []string
	before, after := from.slots(), to.slots()
	for _, name := range to.pools() {
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

// pools returns the names of all models and services.
func (c *Config) pools() []string {
	var names []string
	for i := range c.Models {
		names = append(names, c.Models[i].Name)
	}
	for i := range c.Services {
		names = append(names, c.Services[i].Name)
	}
	return names
}

// slots returns the slots that can take new requests by model or service.
func (c *Config) slots() map[string]uint32 {
	slots := make(map[string]uint32)
	for i := range c.Targets {
		if t := &c.Targets[i]; c.Eligible(t) {
			slots[t.Serves] += t.Slots
		}
	}
	return slots
}

// Eligible reports whether a target may receive new requests: it is not
// leaving, and a target of a model has the model's version loaded.
func (c *Config) Eligible(t *Target) bool {
	if t.Leaving {
		return false
	}
	i, isModel := findNamed(c.Models, t.Serves)
	return !isModel || c.Models[i].ModelVersion == t.ModelVersion
}
