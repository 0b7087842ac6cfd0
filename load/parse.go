package load

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// customerPrefix is the prefix of the names of customer sections.
const customerPrefix = "customer."

// maxDuration limits the duration of an experiment.
const maxDuration = 30 * time.Minute

// Parse parses the experiment file body; errors contain name. Unknown keys are
// errors.
//
// [experiment]: duration, warm-up, seed. [fleet]: callers, controls, engines,
// slots. [customer.NAME]: key, model, weight, outstanding, think, rate, routers,
// input, output, spread, start, stop, urgent, timeout, count (that many equal
// customers NAME-1, NAME-2, ..., whose keys have the same suffix).
func Parse(name string, body []byte) (*Experiment, error) {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	e := new(Experiment)
	for _, s := range f.Sections() {
		sec := &section{file: name, ini: s}
		switch {
		case s.Name() == "experiment":
			e.Duration = sec.duration("duration", 10*time.Second)
			e.WarmUp = sec.duration("warm-up", 2*time.Second)
			e.Seed = uint64(sec.number("seed", 1))
		case s.Name() == "fleet":
			e.Callers = sec.addresses("callers")
			e.Controls = sec.addresses("controls")
			e.Engines = sec.addresses("engines")
			e.Slots = sec.number("slots", 1)
		case strings.HasPrefix(s.Name(), customerPrefix):
			e.Customers = append(e.Customers, sec.customers()...)
		case len(s.Keys()) > 0:
			sec.fail("", "unknown section")
		}
		if err := sec.finish(); err != nil {
			return nil, err
		}
	}
	return e, e.validate(name)
}

func (e *Experiment) validate(name string) error {
	switch {
	case e.Duration <= 0 || e.Duration > maxDuration:
		return fmt.Errorf("%s: [experiment] duration: must be up to %s", name, maxDuration)
	case len(e.Callers) == 0:
		return fmt.Errorf("%s: [fleet] callers: must name a router", name)
	case len(e.Customers) == 0:
		return fmt.Errorf("%s: must have a [customer.NAME]", name)
	}
	for i := range e.Customers {
		c := &e.Customers[i]
		if c.Stop == 0 || c.Stop > e.Duration {
			c.Stop = e.Duration
		}
		if len(c.Routers) == 0 {
			for r := range e.Callers {
				c.Routers = append(c.Routers, r)
			}
		}
		if slices.ContainsFunc(c.Routers, func(r int) bool { return r < 0 || r >= len(e.Callers) }) {
			return fmt.Errorf("%s: [customer.%s] routers: must be indexes of callers", name, c.Name)
		}
	}
	return nil
}

// section reads the keys of one section. It records the keys that were read, to detect unknown
// ones, and keeps the first error.
type section struct {
	file string
	ini  *ini.Section
	used []string
	err  error
}

func (s *section) fail(key, reason string) {
	if s.err == nil {
		s.err = fmt.Errorf("%s: [%s] %s: %s", s.file, s.ini.Name(), key, reason)
	}
}

// finish reports unknown keys and returns the first error.
func (s *section) finish() error {
	for _, k := range s.ini.KeyStrings() {
		if !slices.Contains(s.used, k) {
			s.fail(k, "unknown key")
		}
	}
	return s.err
}

func (s *section) text(key, def string) string {
	s.used = append(s.used, key)
	return s.ini.Key(key).MustString(def)
}

func (s *section) number(key string, def int) int {
	n, err := strconv.Atoi(s.text(key, strconv.Itoa(def)))
	if err != nil || n < 0 {
		s.fail(key, "must be a whole number")
	}
	return n
}

func (s *section) float(key string, def float64) float64 {
	x, err := strconv.ParseFloat(s.text(key, strconv.FormatFloat(def, 'g', -1, 64)), 64)
	if err != nil || x < 0 {
		s.fail(key, "must be a number")
	}
	return x
}

func (s *section) duration(key string, def time.Duration) time.Duration {
	d, err := time.ParseDuration(s.text(key, def.String()))
	if err != nil || d < 0 {
		s.fail(key, "must be a duration such as 10s")
	}
	return d
}

func (s *section) list(key string) []string {
	return strings.FieldsFunc(s.text(key, ""), func(r rune) bool { return r == ',' || r == ' ' })
}

// addresses reads a list of addresses, which must be loopback addresses.
func (s *section) addresses(key string) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, text := range s.list(key) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || !a.Addr().IsLoopback() {
			s.fail(key, fmt.Sprintf("%q is not a loopback address and a port", text))
		}
		addrs = append(addrs, a)
	}
	return addrs
}

func (s *section) customers() []Customer {
	c := Customer{
		Name:        strings.TrimPrefix(s.ini.Name(), customerPrefix),
		Model:       s.text("model", ""),
		Weight:      s.float("weight", 1),
		Outstanding: s.number("outstanding", 0),
		Think:       s.duration("think", 0),
		Rate:        s.float("rate", 0),
		Input:       s.number("input", 32),
		Output:      s.number("output", 64),
		Spread:      s.float("spread", 0),
		Start:       s.duration("start", 0),
		Stop:        s.duration("stop", 0),
		Urgent:      s.text("urgent", "false") == "true",
		Timeout:     s.duration("timeout", 0),
	}
	for _, text := range s.list("routers") {
		r, err := strconv.Atoi(text)
		if err != nil {
			s.fail("routers", "must be indexes of callers")
		}
		c.Routers = append(c.Routers, r)
	}
	c.Key = s.text("key", "")
	count := s.number("count", 0)
	if count == 0 {
		return []Customer{c}
	}
	return repeat(c, count)
}

// repeat returns count copies of c with numbered names and keys.
func repeat(c Customer, count int) []Customer {
	all := make([]Customer, count)
	for i := range all {
		all[i] = c
		all[i].Name = fmt.Sprintf("%s-%d", c.Name, i+1)
		all[i].Key = fmt.Sprintf("%s-%d-key", c.Name, i+1)
	}
	return all
}
