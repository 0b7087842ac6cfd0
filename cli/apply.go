package cli

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"zinccove.example/zinccove/config"
)

// applyCommand requests one plan for all objects of an INI file. Sections are
// named KIND.NAME, and their keys are the flags of "KIND put". Objects that the file
// does not name are left unchanged.
type applyCommand struct {
	command
	File string `short:"f" long:"file" required:"yes" value-name:"FILE" description:"INI file of objects"`
}

// Execute parses the file and requests the plan.
func (c *applyCommand) Execute([]string) error {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", AllowShadows: true}, c.File)
	if err != nil {
		return usageError{err.Error()}
	}
	var changes []config.Change
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		ch, err := parseSection(s)
		if err != nil {
			return usageError{fmt.Sprintf("%s: [%s] %v", c.File, s.Name(), err)}
		}
		changes = append(changes, ch)
	}
	return c.plan(changes...)
}

// section reads the keys of one object. It records the keys that were read, to detect unknown
// ones, and keeps the first error.
type section struct {
	ini  *ini.Section
	name string
	used []string
	err  error
}

// objectParsers maps each kind of section to the function that builds its change.
var objectParsers = map[config.Kind]func(*section) config.Change{
	config.KindCustomer: func(s *section) config.Change {
		return config.Put(config.Customer{Name: s.name, Weight: s.number("weight"), KeyDigests: s.list("key-digest")})
	},
	config.KindModel: func(s *section) config.Change {
		return config.Put(config.Model{Name: s.name, ModelVersion: s.text("model-version")})
	},
	config.KindService: func(s *section) config.Change {
		rules, err := parseRules(s.list("once"))
		s.fail(err)
		return config.Put(config.Service{Name: s.name, Once: rules})
	},
	config.KindTarget: func(s *section) config.Change {
		addr, err := parseAddress("address", s.text("address"))
		s.fail(err)
		return config.Put(config.Target{Name: s.name, Serves: s.text("serves"), ModelVersion: s.text("model-version"),
			Address: addr, DataCentre: s.text("data-centre"), Slots: s.number("slots"),
			TakesOrders: s.bool("takes-orders"), Leaving: s.bool("leaving")})
	},
	config.KindHost: func(s *section) config.Change {
		addr, err := parseAddress("peer", s.text("peer"))
		s.fail(err)
		return config.Put(config.Host{Name: s.name, DataCentre: s.text("data-centre"), Peer: addr, Leaving: s.bool("leaving")})
	},
}

func parseSection(is *ini.Section) (config.Change, error) {
	kind, name, _ := strings.Cut(is.Name(), ".")
	parse := objectParsers[config.Kind(kind)]
	if parse == nil || name == "" {
		return config.Change{}, usageError{"must be named KIND.NAME with a kind of customer, model, service, target or host"}
	}
	s := &section{ini: is, name: name}
	ch := parse(s)
	for _, k := range is.KeyStrings() {
		if !slices.Contains(s.used, k) {
			s.fail(usageError{k + ": unknown key"})
		}
	}
	return ch, s.err
}

func (s *section) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

func (s *section) text(key string) string {
	s.used = append(s.used, key)
	return s.ini.Key(key).String()
}

func (s *section) list(key string) []string {
	var list []string
	for part := range strings.FieldsFuncSeq(s.text(key), func(r rune) bool { return r == ',' || r == ' ' }) {
		list = append(list, part)
	}
	return list
}

func (s *section) number(key string) uint32 {
	text := s.text(key)
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		s.fail(usageError{fmt.Sprintf("%s: %q is not a whole number", key, text)})
	}
	return uint32(n)
}

func (s *section) bool(key string) bool {
	text := s.text(key)
	if text == "" {
		return false
	}
	b, err := strconv.ParseBool(text)
	if err != nil {
		s.fail(usageError{fmt.Sprintf("%s: %q is not true or false", key, text)})
	}
	return b
}
