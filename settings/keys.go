package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// key defines one key of the settings file.
type key struct {
	section  string
	name     string
	def      string
	required bool
	// hidden keeps the value, such as a secret, out of errors.
	hidden bool
	// allowed describes the values that set accepts.
	allowed string
	doc     string
	set     func(*Settings, string) error
}

var errNotAllowed = eris.New("value not allowed")

// table defines every key but those of operators, in the order of the annotated example.
var table = []key{
	text("host", "name", "Name of this host, unique in the fleet.", func(s *Settings) *string { return &s.Host }),
	text("host", "data-centre", "Data centre of this host.", func(s *Settings) *string { return &s.DataCentre }),

	pairs("host", "regions", "Data centres and the region of each, as data-centre:region separated by commas. Routes and customers bound to regions reach no target of a data centre that is missing here.", func(s *Settings) *map[string]string { return &s.Regions }),

	address("listen", "caller", "", "Address for callers (HTTP).", func(s *Settings) *netip.AddrPort { return &s.ListenCaller }),
	address("listen", "control", "", "Address for operators, peers' calls, metrics and health (HTTP).", func(s *Settings) *netip.AddrPort { return &s.ListenControl }),
	address("listen", "peer", "", "Address for peers' datagrams (UDP).", func(s *Settings) *netip.AddrPort { return &s.ListenPeer }),

	optionalAddress("listen", "ready", "Address for the balancer's readiness check (HTTP, any path). Without it the balancer asks /readyz of the control address.", func(s *Settings) *netip.AddrPort { return &s.ListenReady }),

	choice("routes", "source", SourcePlans, "Where routes, services and customers come from: plans of operators made through this fleet, or the configuration that operators write into the platform's store.", func(s *Settings) *Source { return &s.RouteSource }),

	secret("fleet", "key", "Secret shared by all routers; it authenticates their messages.", func(s *Settings) *string { return &s.FleetKey }),
	addresses("fleet", "seeds", "Datagram addresses of some other routers, separated by commas. Needed only while the platform cannot be reached.", func(s *Settings) *[]netip.AddrPort { return &s.Seeds }),
	hosts("fleet", "contacts", "Addresses of some other routers that listen for datagrams on the same port as this one; ports given here are ignored.", func(s *Settings) *[]netip.Addr { return &s.Contacts }),
	number("fleet", "control-bytes-per-second", 3000, 500, 1<<20, "Most bytes a second sent to peers, headers included; heartbeats slow down to keep it.", func(s *Settings) *int { return &s.ControlBytesPerSecond }),
	duration("fleet", "heartbeat-interval", 250*time.Millisecond, 50*time.Millisecond, 10*time.Second, "Shortest time between heartbeats.", func(s *Settings) *time.Duration { return &s.HeartbeatInterval }),
	flag("fleet", "first-start", "Whether the whole fleet starts for the first time, so that its targets keep no prompts yet.", func(s *Settings) *bool { return &s.FirstStart }),

	address("platform", "address", "", "Address of the platform's table, object store and host list (HTTP).", func(s *Settings) *netip.AddrPort { return &s.PlatformAddress }),
	duration("platform", "timeout", 2*time.Second, 50*time.Millisecond, time.Minute, "Longest time for one request to the platform.", func(s *Settings) *time.Duration { return &s.PlatformTimeout }),
	number("platform", "reads-per-second", 20, 1, 2000, "Most reads a second from this router.", func(s *Settings) *int { return &s.ReadsPerSecond }),
	number("platform", "writes-per-second", 20, 1, 500, "Most writes a second from this router.", func(s *Settings) *int { return &s.WritesPerSecond }),
	duration("platform", "poll-interval", time.Second, 100*time.Millisecond, time.Minute, "Time between looks at the head of the configuration.", func(s *Settings) *time.Duration { return &s.PollInterval }),

	number("limits", "body-bytes", 1<<20, 1<<10, 64<<20, "Largest body of a caller's request, where the configuration has no limit.", func(s *Settings) *int { return &s.MaxBodyBytes }),
	number("limits", "header-bytes", 16<<10, 1<<10, 1<<20, "Largest header of a caller's request, where the configuration has no limit.", func(s *Settings) *int { return &s.MaxHeaderBytes }),
	number("limits", "connections", 20000, 10, 1<<20, "Most connections of callers at once.", func(s *Settings) *int { return &s.MaxConnections }),
	number("limits", "queue-per-customer", 256, 1, 1<<20, "Most requests of one customer that wait for one model or service at this router.", func(s *Settings) *int { return &s.QueueLimit }),
	duration("limits", "request-timeout", 10*time.Minute, 100*time.Millisecond, 24*time.Hour, "Longest time of a request; callers can ask for less.", func(s *Settings) *time.Duration { return &s.RequestTimeout }),
	duration("limits", "write-timeout", 30*time.Second, 100*time.Millisecond, time.Hour, "Longest time that a caller may take no bytes of its answer; its request is then cancelled.", func(s *Settings) *time.Duration { return &s.WriteTimeout }),
	duration("limits", "stop-delay", 2*time.Second, 0, time.Minute, "Time that a planned stop gives the balancer to see that this router is not ready.", func(s *Settings) *time.Duration { return &s.StopDelay }),
	duration("limits", "stop-timeout", 15*time.Minute, time.Second, 24*time.Hour, "Longest time that a planned stop waits for accepted requests.", func(s *Settings) *time.Duration { return &s.StopTimeout }),

	decimal("limits", "memory-mb", 0, 0, 1<<20, "Memory of the process in MB, which the collector keeps well below; 0 leaves it open.", func(s *Settings) *float64 { return &s.MemoryMB }),

	duration("targets", "drain", 2*time.Second, time.Second, time.Minute, "Time after which a target that said that it leaves, or whose entry went, must get nothing new.", func(s *Settings) *time.Duration { return &s.TargetDrain }),
	duration("targets", "heartbeat", 1200*time.Millisecond, 100*time.Millisecond, time.Minute, "Time between two writes of a target's entry; an entry that goes is gone unless it is back by then.", func(s *Settings) *time.Duration { return &s.TargetHeartbeat }),

	decimal("retry", "ratio", 0.2, 0, 1, "Most second attempts at a service over the requests for it, of all routers together.", func(s *Settings) *float64 { return &s.RetryRatio }),
	decimal("retry", "slack", 50, 0, 1<<20, "Second attempts that all routers together may make beyond the ratio, in one window.", func(s *Settings) *float64 { return &s.RetrySlack }),
	duration("retry", "window", 10*time.Second, time.Second, time.Minute, "Window of the retry limits.", func(s *Settings) *time.Duration { return &s.RetryWindow }),

	decimal("rollout", "expose-share", 0.1, 0.001, 1, "Most of a service's requests that a new version may get which turns out to be bad.", func(s *Settings) *float64 { return &s.ExposeShare }),

	duration("limits", "pass-within", 0, 0, time.Minute, "Time within which an event of a stream has to reach its caller after its target made it. A busy router collects events for a part of it; 0 passes each on at once.", func(s *Settings) *time.Duration { return &s.PassWithin }),
	decimal("limits", "processor", 0, 0, 1024, "Share of a core that this router may use, from which it tells others what it has left; 0 leaves it unknown, and others do not hand requests over to it.", func(s *Settings) *float64 { return &s.Processor }),

	flag("offload", "enabled", "Whether a router at its limits hands streams over to routers of its data centre that have processor time left, and takes over theirs.", func(s *Settings) *bool { return &s.Offload }),

	number("waiting", "requests", 0, 0, 1<<16, "Most requests of this router that wait at once for a place at a target instead of being refused; 0 refuses them at once.", func(s *Settings) *int { return &s.WaitingRequests }),

	flag("placement", "near-homes", "Whether prompts have their homes in the data centre of their caller first, in data centres with enough targets.", func(s *Settings) *bool { return &s.NearHomes }),
	flag("placement", "cache-events", "Whether owners follow what their targets cache and evict.", func(s *Settings) *bool { return &s.CacheEvents }),

	flag("streams", "backups", "Whether targets copy the state of streams to another target while many streams are lost, so that these continue there.", func(s *Settings) *bool { return &s.Backups }),

	number("fair", "debt-requests", 4, 2, 1000, "Most that a waiting customer can be ahead of the least served one, in requests of the largest recent cost. What it got beyond that, as in a partition, is forgiven.", func(s *Settings) *int { return &s.DebtRequests }),

	level("log", "level", "Least level of log lines.", func(s *Settings) *zerolog.Level { return &s.LogLevel }),
}

func text(section, name, doc string, field func(*Settings) *string) key {
	set := func(s *Settings, v string) error {
		if len(v) > 64 || strings.ContainsAny(v, " \t/") {
			return errNotAllowed
		}
		*field(s) = v
		return nil
	}
	return key{section: section, name: name, required: true, allowed: "1 to 64 bytes without spaces or slashes", doc: doc, set: set}
}

// minSecret is the minimum length of a secret in bytes.
const minSecret = 16

func secret(section, name, doc string, field func(*Settings) *string) key {
	set := func(s *Settings, v string) error {
		if len(v) < minSecret {
			return errNotAllowed
		}
		*field(s) = v
		return nil
	}
	return key{section: section, name: name, required: true, hidden: true, allowed: fmt.Sprintf("at least %d bytes", minSecret), doc: doc, set: set}
}

func address(section, name, def, doc string, field func(*Settings) *netip.AddrPort) key {
	set := func(s *Settings, v string) error {
		a, err := netip.ParseAddrPort(v)
		*field(s) = a
		return err
	}
	return key{section: section, name: name, def: def, required: true, allowed: "IP address and port, such as 127.0.0.1:8080", doc: doc, set: set}
}

func pairs(section, name, doc string, field func(*Settings) *map[string]string) key {
	set := func(s *Settings, v string) error {
		m := make(map[string]string)
		for part := range strings.FieldsFuncSeq(v, isListSeparator) {
			k, value, ok := strings.Cut(part, ":")
			if !ok || k == "" || value == "" || m[k] != "" {
				return errNotAllowed
			}
			m[k] = value
		}
		*field(s) = m
		return nil
	}
	return key{section: section, name: name, allowed: "names and values such as a:b, separated by commas, each name once", doc: doc, set: set}
}

// isListSeparator reports whether a character separates the entries of a list.
func isListSeparator(r rune) bool { return r == ',' || r == ' ' }

func addresses(section, name, doc string, field func(*Settings) *[]netip.AddrPort) key {
	set := func(s *Settings, v string) error { return eachAddress(v, field(s)) }
	return key{section: section, name: name, allowed: "IP addresses with ports, separated by commas", doc: doc, set: set}
}

func optionalAddress(section, name, doc string, field func(*Settings) *netip.AddrPort) key {
	k := address(section, name, "", doc, field)
	set := k.set
	k.required = false
	k.set = func(s *Settings, v string) error {
		if v == "" {
			return nil
		}
		return set(s, v)
	}
	return k
}

func eachAddress(v string, list *[]netip.AddrPort) error {
	for part := range strings.FieldsFuncSeq(v, isListSeparator) {
		a, err := netip.ParseAddrPort(part)
		if err != nil {
			return err
		}
		*list = append(*list, a)
	}
	return nil
}

func hosts(section, name, doc string, field func(*Settings) *[]netip.Addr) key {
	set := func(s *Settings, v string) error {
		var list []netip.AddrPort
		if err := eachAddress(v, &list); err != nil {
			return err
		}
		for _, a := range list {
			*field(s) = append(*field(s), a.Addr())
		}
		return nil
	}
	return key{section: section, name: name, allowed: "IP addresses with ports, separated by commas", doc: doc, set: set}
}

func choice(section, name string, def Source, doc string, field func(*Settings) *Source) key {
	set := func(s *Settings, v string) error {
		*field(s) = Source(v)
		if !slices.Contains(sources, Source(v)) {
			return errNotAllowed
		}
		return nil
	}
	return key{section: section, name: name, def: string(def), allowed: "plans or store", doc: doc, set: set}
}

// flag returns a key whose value is true or false, false by default.
func flag(section, name, doc string, field func(*Settings) *bool) key {
	set := func(s *Settings, v string) error {
		*field(s) = v == "true"
		if v != "true" && v != "false" {
			return errNotAllowed
		}
		return nil
	}
	return key{section: section, name: name, def: "false", allowed: "true or false", doc: doc, set: set}
}

// decimal returns a key for a quantity that platforms may provide with a fraction.
func decimal(section, name string, def, minimum, maximum float64, doc string, field func(*Settings) *float64) key {
	set := func(s *Settings, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		// Both comparisons are false for NaN, which ParseFloat accepts.
		if err != nil || !(n >= minimum && n <= maximum) {
			return errNotAllowed
		}
		*field(s) = n
		return nil
	}
	return key{section: section, name: name, def: formatDecimal(def), allowed: formatDecimal(minimum) + " to " + formatDecimal(maximum), doc: doc, set: set}
}

// formatDecimal writes a number without an exponent.
func formatDecimal(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

func number(section, name string, def, minimum, maximum int, doc string, field func(*Settings) *int) key {
	set := func(s *Settings, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < minimum || n > maximum {
			return errNotAllowed
		}
		*field(s) = n
		return nil
	}
	return key{section: section, name: name, def: strconv.Itoa(def), allowed: fmt.Sprintf("%d to %d", minimum, maximum), doc: doc, set: set}
}

func duration(section, name string, def, minimum, maximum time.Duration, doc string, field func(*Settings) *time.Duration) key {
	set := func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < minimum || d > maximum {
			return errNotAllowed
		}
		*field(s) = d
		return nil
	}
	return key{section: section, name: name, def: def.String(), allowed: fmt.Sprintf("%s to %s", minimum, maximum), doc: doc, set: set}
}

func level(section, name, doc string, field func(*Settings) *zerolog.Level) key {
	set := func(s *Settings, v string) error {
		l, err := zerolog.ParseLevel(v)
		if err != nil || v == "" {
			return errNotAllowed
		}
		*field(s) = l
		return nil
	}
	return key{section: section, name: name, def: "info", allowed: "debug, info, warn or error", doc: doc, set: set}
}

func keysOf(section string) map[string]*key {
	keys := make(map[string]*key)
	for i := range table {
		if table[i].section == section {
			keys[table[i].name] = &table[i]
		}
	}
	return keys
}
