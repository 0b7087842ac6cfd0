// Package settings reads a router's settings from an INI file.
//
// The file is read once at start. Every key is checked; an unknown section or
// key, a missing required key and a value out of range are errors that name
// file, section and key. The keys, their ranges and their documentation stand
// in one table in keys.go, from which Reference makes the annotated example.
//
// # Usage
//
//	s, err := settings.Load("zinccoved.ini")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // one line for each wrong key
//	}
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/ini.v1"

	"zinccove.example/zinccove/errs"
)

// Settings are the checked settings of one router.
type Settings struct {
	Host       string
	DataCentre string
	// Regions are those of all data centres by name.
	Regions map[string]string

	ListenCaller  netip.AddrPort
	ListenControl netip.AddrPort
	ListenPeer    netip.AddrPort
	// ListenReady is not valid if the balancer asks the control address.
	ListenReady netip.AddrPort

	RouteSource Source

	FleetKey string
	Seeds    []netip.AddrPort
	// Contacts are hosts whose routers use the same datagram port.
	Contacts []netip.Addr
	// ControlBytesPerSecond bounds what the router sends to its peers.
	ControlBytesPerSecond int
	HeartbeatInterval     time.Duration
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool

	PlatformAddress netip.AddrPort
	PlatformTimeout time.Duration
	ReadsPerSecond  int
	WritesPerSecond int
	PollInterval    time.Duration

	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int
	QueueLimit     int
	RequestTimeout time.Duration
	// WriteTimeout is how long a caller may take no bytes of its answer.
	WriteTimeout time.Duration
	// StopDelay is the time between telling the balancer and stopping.
	StopDelay   time.Duration
	StopTimeout time.Duration

	MemoryMB float64

	// TargetDrain is the time after which a target that said that it leaves, or
	// whose entry went, must get nothing new.
	TargetDrain time.Duration
	// TargetHeartbeat is the time between two writes of a target's entry.
	TargetHeartbeat time.Duration

	// RetryRatio and RetrySlack bound the second attempts of all routers in a
	// RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// ExposeShare is the part of a service's requests that a bad new version may get.
	ExposeShare float64

	DebtRequests int

	LogLevel zerolog.Level

	Operators []Operator
}

// Memory is the memory of the process in bytes, 0 if it is left open.
func (s *Settings) Memory() int64 {
	const bytesPerMB = 1 << 20
	return int64(s.MemoryMB * bytesPerMB)
}

// Source is where the routing configuration comes from.
type Source string

// The sources.
const (
	// SourcePlans: plans that operators confirm through the fleet.
	SourcePlans Source = "plans"
	// SourceStore: the configuration that operators write into the platform's
	// store.
	SourceStore Source = "store"
)

var sources = []Source{SourcePlans, SourceStore}

// Role is what an operator may do.
type Role string

// The roles. Each call of the intent API needs one of them.
const (
	RoleRead    Role = "read"
	RolePlan    Role = "plan"
	RoleConfirm Role = "confirm"
)

// Operator is a person or program that may use the intent API.
type Operator struct {
	Name string
	// KeyDigest is the hexadecimal SHA-256 digest of the operator's key.
	KeyDigest string
	Roles     []Role
}

// KeyError says what is wrong with one key of a settings file.
type KeyError struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error returns file, section, key and reason in one line.
func (e *KeyError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", e.File, e.Section, e.Reason)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", e.File, e.Section, e.Key, e.Reason)
}

// Errors are all the wrong keys of a settings file.
type Errors []*KeyError

// Error returns one line for each wrong key.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. The error is an Errors, or a file or
// syntax error wrapped with the step.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, "read settings", "")
	}
	return Parse(path, body)
}

// Parse checks the text of a settings file; path is named in errors.
func Parse(path string, body []byte) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", SpaceBeforeInlineComment: true}, body)
	if err != nil {
		return nil, errs.Wrap(err, "parse settings "+path, "")
	}
	p := parser{file: path, ini: f, settings: &Settings{}}
	p.unknown()
	p.values()
	p.operators()
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return p.settings, nil
}

type parser struct {
	file     string
	ini      *ini.File
	settings *Settings
	errors   Errors
}

func (p *parser) fail(section, key, reason string) {
	p.errors = append(p.errors, &KeyError{File: p.file, Section: section, Key: key, Reason: reason})
}

// unknown reports sections and keys that are not in the table.
func (p *parser) unknown() {
	for _, s := range p.ini.Sections() {
		if strings.HasPrefix(s.Name(), operatorPrefix) {
			continue
		}
		if s.Name() == ini.DefaultSection {
			p.noKeys(s)
			continue
		}
		known := keysOf(s.Name())
		if len(known) == 0 {
			p.fail(s.Name(), "", "unknown section")
			continue
		}
		for _, k := range s.KeyStrings() {
			if _, ok := known[k]; !ok {
				p.fail(s.Name(), k, "unknown key")
			}
		}
	}
}

func (p *parser) noKeys(s *ini.Section) {
	for _, k := range s.KeyStrings() {
		p.fail(s.Name(), k, "must stand in a section")
	}
}

// values sets every key of the table from the file or its default.
func (p *parser) values() {
	for i := range table {
		k := &table[i]
		text := k.def
		if s, err := p.ini.GetSection(k.section); err == nil && s.HasKey(k.name) {
			text = s.Key(k.name).String()
		}
		// A template leaves a value empty that the platform does not state.
		if text == "" {
			text = k.def
		}
		if text == "" && k.required {
			p.fail(k.section, k.name, "is required: "+k.allowed)
			continue
		}
		if err := k.set(p.settings, text); err != nil {
			p.fail(k.section, k.name, k.refusal(text))
		}
	}
}

func (k *key) refusal(text string) string {
	if k.hidden {
		return "the value is not allowed: " + k.allowed
	}
	return fmt.Sprintf("%q is not allowed: %s", text, k.allowed)
}
