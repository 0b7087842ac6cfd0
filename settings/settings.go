// Package settings reads a router's settings from an INI file.
//
// The file is read once at start. Every key is validated; an unknown section or
// key, a missing required key and a value out of range are errors that name
// file, section and key. One table in keys.go defines the keys, their ranges and
// their documentation; Reference generates the annotated example from it.
//
// # Usage
//
//	s, err := settings.Load("zinccoved.ini")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // one line for each invalid key
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

// Settings are the validated settings of one router.
type Settings struct {
	Host       string
	DataCentre string
	// Regions maps the name of each data centre to its region.
	Regions map[string]string

	ListenCaller  netip.AddrPort
	ListenControl netip.AddrPort
	ListenPeer    netip.AddrPort
	// ListenReady is the address of the balancer's readiness check. It is invalid if the
	// balancer uses the control address instead.
	ListenReady netip.AddrPort

	RouteSource Source

	FleetKey string
	Seeds    []netip.AddrPort
	// Contacts are hosts whose routers receive datagrams on the same port as this one.
	Contacts []netip.Addr
	// ControlBytesPerSecond limits what the router sends to its peers.
	ControlBytesPerSecond int
	HeartbeatInterval     time.Duration
	// FirstStart is set if the whole fleet starts for the first time.
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
	// WriteTimeout limits how long a caller may read no bytes of its response.
	WriteTimeout time.Duration
	// StopDelay is the delay between reporting to the balancer that the router is not ready
	// and stopping.
	StopDelay   time.Duration
	StopTimeout time.Duration

	MemoryMB float64

	// TargetDrain is the time after which a target that announced its end, or whose
	// entry was removed or expired, must receive no new requests.
	TargetDrain time.Duration
	// TargetHeartbeat is the interval between two writes of a target's entry.
	TargetHeartbeat time.Duration

	// RetryRatio and RetrySlack limit the second attempts of all routers together within a
	// RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// ExposeShare is the largest share of a service's requests that a faulty new version
	// may receive.
	ExposeShare float64

	DebtRequests int

	// PassWithin is the time within which an event has to be passed on; 0 means that none is set.
	PassWithin time.Duration
	// Processor is the share of a core that the router may use; 0 if it is not known.
	Processor float64
	// Offload lets routers at their limits hand streams over to others.
	Offload bool
	// WaitingRequests is the maximum number of requests that wait for a place at a target.
	WaitingRequests int
	// NearHomes selects the homes of prompts in the data centre of the caller first.
	NearHomes bool
	// CacheEvents lets owners follow what their targets cache and evict.
	CacheEvents bool
	// Backups lets targets copy the state of streams while many streams are lost.
	Backups bool

	LogLevel zerolog.Level

	Operators []Operator
}

// Memory returns the memory of the process in bytes, or 0 if it is not set.
func (s *Settings) Memory() int64 {
	const bytesPerMB = 1 << 20
	return int64(s.MemoryMB * bytesPerMB)
}

// Source identifies where the routing configuration comes from.
type Source string

// The sources.
const (
	// SourcePlans is the source of plans that operators confirm through the fleet.
	SourcePlans Source = "plans"
	// SourceStore is the configuration that operators write into the platform's store.
	SourceStore Source = "store"
)

var sources = []Source{SourcePlans, SourceStore}

// Role is a permission of an operator.
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

// KeyError describes why a section or one key of a settings file is invalid.
type KeyError struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error returns file, section, key, if any, and reason in one line.
func (e *KeyError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", e.File, e.Section, e.Reason)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", e.File, e.Section, e.Key, e.Reason)
}

// Errors lists all invalid sections and keys of a settings file.
type Errors []*KeyError

// Error returns one line for each invalid section or key.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. The error is an Errors, or a file or
// syntax error wrapped with the step that failed.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, "read settings", "")
	}
	return Parse(path, body)
}

// Parse parses and validates the text of a settings file. Errors name path as its file.
func Parse(path string, body []byte) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", SpaceBeforeInlineComment: true}, body)
	if err != nil {
		return nil, errs.Wrap(err, "parse settings "+path, "")
	}
	p := parser{file: path, ini: f, settings: &Settings{}}
	p.rejectUnknown()
	p.parseValues()
	p.parseOperators()
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

// rejectUnknown reports sections and keys that are not in the table.
func (p *parser) rejectUnknown() {
	for _, s := range p.ini.Sections() {
		if strings.HasPrefix(s.Name(), operatorPrefix) {
			continue
		}
		if s.Name() == ini.DefaultSection {
			p.rejectKeys(s)
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

func (p *parser) rejectKeys(s *ini.Section) {
	for _, k := range s.KeyStrings() {
		p.fail(s.Name(), k, "must stand in a section")
	}
}

// parseValues sets every key of the table from the file or its default.
func (p *parser) parseValues() {
	for i := range table {
		k := &table[i]
		text := k.def
		if s, err := p.ini.GetSection(k.section); err == nil && s.HasKey(k.name) {
			text = s.Key(k.name).String()
		}
		// A value in a template stays empty if the platform does not provide it.
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
