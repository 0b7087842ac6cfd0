package contact

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/quarantine"
)

const failureTimeout = 2 * time.Second

// network delivers datagrams between Contacts immediately, unless it is cut.
type network struct {
	clock   *clockwork.FakeClock
	members map[netip.AddrPort]*Contact
	cut     bool
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i))
}

func (n *network) add(t *testing.T, i int) *Contact {
	t.Helper()
	m, err := metric.New()
	assert.NilError(t, err)
	addr := addressOf(i)
	c := New(Options{
		Host: string(rune('a' + i)), DataCentre: "dc", Clock: n.clock, Log: zerolog.Nop(), Metrics: m,
		Quarantine: quarantine.New(n.clock), FailureTimeout: failureTimeout,
		Send: func(hb *zinccovev1.Heartbeat, to ...netip.AddrPort) (size, sent int, err error) {
			for _, a := range to {
				if n.cut || n.members[a] == nil {
					err = eris.New("not delivered")
					continue
				}
				n.members[a].Receive(hb, addr, 100)
				sent++
			}
			return 100, sent, err
		},
		Control: func() netip.AddrPort { return addr }, Peer: func() netip.AddrPort { return addr },
	})
	n.members[addr] = c
	return c
}

func newNetwork() *network {
	return &network{clock: clockwork.NewFakeClock(), members: make(map[netip.AddrPort]*Contact)}
}

func (c *Contact) beat(to netip.AddrPort) (sent, cost int) {
	hb := c.NewHeartbeat(7, false)
	hb.Host = c.Identity()
	return c.Send(hb, to)
}

func TestRoutersTrackReachablePeers(t *testing.T) {
	n := newNetwork()
	a, b := n.add(t, 0), n.add(t, 1)
	assert.Equal(t, a.Publish(new(zinccovev1.RouterStatus)), 0)
	assert.Assert(t, a.Isolated())
	sent, cost := b.beat(addressOf(0))
	assert.Equal(t, sent, 1)
	assert.Equal(t, cost, 100)
	host, outcome := a.HandleHeartbeat(<-a.Heartbeats())
	assert.Equal(t, outcome, member.Restarted)
	assert.Equal(t, host.Name, "b")
	assert.Equal(t, host.ConfigVersion, uint64(7))
	assert.Equal(t, a.Publish(&zinccovev1.RouterStatus{ConfigVersion: 5}), 1)
	assert.Assert(t, !a.Isolated())
	assert.Equal(t, a.Statuses()[0].Host, "a")
	assert.Equal(t, a.Statuses()[0].ConfigVersion, uint64(5))
	assert.Equal(t, a.Statuses()[1].Host, "b")

	n.cut = true
	sent, cost = b.beat(addressOf(0))
	assert.Equal(t, sent, 0)
	assert.Equal(t, cost, 0)
	for range 5 {
		n.clock.Advance(failureTimeout / 4)
		failed, _ := a.Expire(time.Minute)
		if len(failed) > 0 {
			assert.Equal(t, failed[0].Name, "b")
		}
	}
	assert.Equal(t, a.Publish(new(zinccovev1.RouterStatus)), 0)
	n.cut = false
	b.beat(addressOf(0))
	_, outcome = a.HandleHeartbeat(<-a.Heartbeats())
	assert.Equal(t, outcome, member.Current)
	assert.Equal(t, a.Publish(new(zinccovev1.RouterStatus)), 1)
}

func TestLongUnreachableRoutersAreForgotten(t *testing.T) {
	n := newNetwork()
	a, b := n.add(t, 0), n.add(t, 1)
	b.beat(addressOf(0))
	a.HandleHeartbeat(<-a.Heartbeats())
	var forgotten []*member.Host
	for range 130 {
		n.clock.Advance(failureTimeout / 4)
		_, list := a.Expire(time.Minute)
		forgotten = append(forgotten, list...)
	}
	assert.Equal(t, len(forgotten), 1)
	assert.Equal(t, len(a.Members.Hosts()), 0)
}

// TestSuspectsAreSentBesideHeartbeats ends two targets under the same request at one router: the
// other must bar the request without a heartbeat.
func TestSuspectsAreSentBesideHeartbeats(t *testing.T) {
	n := newNetwork()
	a, b := n.add(t, 0), n.add(t, 1)
	assert.Equal(t, b.SendSuspects(addressOf(0)), 0, "no suspects to send")
	content := &quarantine.Content{Customer: "c", Body: []byte("x")}
	for i := range 2 {
		b.options.Quarantine.RecordLoss(content, quarantine.IncarnationHash(i+1), quarantine.NotBegun)
	}
	assert.Equal(t, b.SendSuspects(addressOf(0)), 100)
	assert.Assert(t, a.options.Quarantine.Barred(content) != nil)
	assert.Equal(t, len(a.Heartbeats()), 0)
}

func TestFullInboxDropsHeartbeats(t *testing.T) {
	n := newNetwork()
	a, b := n.add(t, 0), n.add(t, 1)
	for range inboxSize + 10 {
		b.beat(addressOf(0))
	}
	assert.Equal(t, len(a.Heartbeats()), inboxSize)
}
