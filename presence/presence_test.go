package presence

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/feed"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/member"
)

const (
	// tick is the time between ticks of the simulated routers, and the transit time of a datagram.
	tick = 100 * time.Millisecond
	// fullPerCell is the number of routers of each cell, first by name, that are simulated in full,
	// so that they can become relays. The others only send heartbeats.
	fullPerCell = 9
	// convergenceTime is the time by which all routers know that a router has failed or recovered.
	convergenceTime = 3 * time.Second
)

// router is a simulated router. Node and table are nil for those that only send heartbeats.
type router struct {
	name, dataCentre string
	peer             netip.AddrPort
	incarnation      uint64
	sequence         uint64
	node             *Node
	table            *member.Table
	role             feed.Role
	nextRole         time.Time
	ended            bool
	// sent and received count datagrams.
	sent, received int
}

// fleet is a simulated fleet with its own clock.
type fleet struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	random  *rand.Rand
	routers []*router
	byPeer  map[netip.AddrPort]*router
	byName  map[string]*router
	// lossRate is the fraction of datagrams that are lost, cut a data centre that is cut off.
	lossRate float64
	cut      string
	// inFlight holds the datagrams in transit.
	inFlight []datagram
	// sample is a fully simulated router of each cell that is not a relay at first.
	sample map[Cell]*router
}

type datagram struct {
	from, to *router
	message  Message
}

// newFleet returns a fleet of five data centres with n routers in total.
func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{
		t: t, clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, seed)),
		byPeer: make(map[netip.AddrPort]*router), byName: make(map[string]*router), sample: make(map[Cell]*router),
	}
	cells := make(map[Cell]int)
	for i := range n {
		r := &router{
			name: fmt.Sprintf("front-%05d", i), dataCentre: fmt.Sprint("dc-", i%5), incarnation: uint64(i + 1),
			peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		}
		f.routers = append(f.routers, r)
		f.byPeer[r.peer], f.byName[r.name] = r, r
		cell := f.cellOf(r, n)
		cells[cell]++
		if cells[cell] <= fullPerCell {
			f.start(r)
			f.sample[cell] = r
		}
	}
	return f
}

func (f *fleet) cellOf(r *router, n int) Cell {
	of := feed.CellCount(n / 5)
	return Cell{DataCentre: r.dataCentre, Number: feed.CellOf(r.name, of), Cells: of}
}

// start gives a router a new node with an empty member table.
func (f *fleet) start(r *router) {
	r.table = member.New(member.Options{Self: r.name, Clock: f.clock, Timeout: ReportTTL})
	r.node = New(Options{Host: r.name, DataCentre: r.dataCentre, Clock: f.clock, Members: r.table, Random: f.random})
}

// introduceAll adds all routers to the member tables of all others, as the store would.
func (f *fleet) introduceAll() {
	for _, r := range f.routers {
		if r.node == nil {
			continue
		}
		for _, o := range f.routers {
			r.table.Upsert(member.Address{Name: o.name, DataCentre: o.dataCentre, Peer: o.peer})
		}
	}
}

// run advances the time by d.
func (f *fleet) run(d time.Duration) {
	for range d / tick {
		f.clock.Advance(tick)
		f.deliver()
		for i, r := range f.routers {
			switch {
			case r.ended:
			case r.node != nil:
				f.tickRouter(r)
			case (i+int(f.clock.Now().UnixMilli()/tick.Milliseconds()))%int(heartbeatInterval/tick) == 0: // a little more often
				f.sendHeartbeat(r)
			}
		}
	}
}

// tickRouter does what the control loop of a router does on a tick.
func (f *fleet) tickRouter(r *router) {
	r.table.Expire()
	r.node.Apply()
	f.findRole(r)
	for _, m := range r.node.Due() {
		f.send(r, m)
	}
}

// roleInterval is the time between updates of a router's role.
const roleInterval = 500 * time.Millisecond

func (f *fleet) findRole(r *router) {
	now := f.clock.Now()
	if now.Before(r.nextRole) {
		return
	}
	r.nextRole = now.Add(roleInterval)
	var own []string
	known := 1
	for _, h := range r.table.Hosts() {
		if h.DataCentre != r.dataCentre {
			continue
		}
		known++
		if presumedReachable(h) && !h.Leaving {
			own = append(own, h.Name)
		}
	}
	r.role = feed.RoleOf(r.name, own, known)
	r.node.SetRole(r.role, known)
}

// sendHeartbeat sends the heartbeat of a router that is not simulated in full to the relays that
// the sample router of its cell knows.
func (f *fleet) sendHeartbeat(r *router) {
	sample := f.sample[f.cellOf(r, len(f.routers))]
	cell := append(slices.Clone(sample.role.Cell), sample.name)
	slices.Sort(cell)
	var to []netip.AddrPort
	for _, name := range relaysOf(cell) {
		to = append(to, f.byName[name].peer)
	}
	f.send(r, Message{Kind: Heartbeat, To: to})
}

func (f *fleet) send(r *router, m Message) {
	for _, addr := range m.To {
		to := f.byPeer[addr]
		r.sent++
		away := (r.dataCentre == f.cut) != (to.dataCentre == f.cut)
		if f.random.Float64() < f.lossRate || away {
			continue
		}
		f.inFlight = append(f.inFlight, datagram{from: r, to: to, message: m})
	}
}

func (f *fleet) deliver() {
	queue := f.inFlight
	f.inFlight = nil
	for _, d := range queue {
		if d.to.ended || d.to.node == nil {
			continue
		}
		d.to.received++
		d.from.sequence++
		h, outcome := d.to.table.RecordHeartbeat(&zinccovev1.Heartbeat{
			Incarnation: d.from.incarnation, Sequence: d.from.sequence,
			Host: &zinccovev1.HostInfo{Name: d.from.name, DataCentre: d.from.dataCentre, Peer: d.from.peer.String(), Control: d.from.peer.String()},
		})
		if outcome == member.Ignored {
			continue
		}
		if reply := d.to.node.Receive(h, d.message); reply != nil {
			f.send(d.to, *reply)
		}
	}
}

// wrongBeliefs returns the number of other routers whose state a running router has wrong: the
// maximum over all routers, and the sum.
func (f *fleet) wrongBeliefs() (most, sum int) {
	for _, r := range f.routers {
		if r.ended || r.node == nil {
			continue
		}
		count := 0
		for _, h := range r.table.Hosts() {
			away := (h.DataCentre == f.cut) != (r.dataCentre == f.cut)
			if h.Reachable == (f.byName[h.Name].ended || away) {
				count++
			}
		}
		most = max(most, count)
		sum += count
	}
	return most, sum
}

// assertAgreement fails the test unless all routers know which routers are reachable.
func (f *fleet) assertAgreement(what string) {
	f.t.Helper()
	most, sum := f.wrongBeliefs()
	assert.Equal(f.t, most, 0, "%s: %d wrong beliefs in sum", what, sum)
}

// newConvergedFleet returns a fleet whose routers all know the state of the others.
func newConvergedFleet(t *testing.T, n int, seed uint64) *fleet {
	f := newFleet(t, n, seed)
	f.introduceAll()
	f.run(convergenceTime + failureTimeout)
	f.assertAgreement("after the start")
	return f
}

// setEnded stops routers, or restarts them as new incarnations.
func (f *fleet) setEnded(ended bool, list ...*router) {
	for _, r := range list {
		r.ended = ended
		if !ended {
			r.incarnation += uint64(len(f.routers))
			r.sequence = 0
			if r.node != nil {
				f.start(r)
				f.introduceAll()
			}
		}
	}
}

var sizes = []int{200, largest}

// TestFailedRouterIsKnownToAllInTime stops a router of each kind in fleets of all sizes and
// restarts it: all others must know both in time.
func TestFailedRouterIsKnownToAllInTime(t *testing.T) {
	for _, n := range sizes {
		f := newConvergedFleet(t, n, 1)
		member := f.routers[n-1]
		assert.Assert(t, member.node == nil)
		var leader, relay *router
		for _, r := range f.routers {
			switch {
			case r.role.Leads && leader == nil:
				leader = r
			case r.role.Serves && !r.role.Leads && relay == nil:
				relay = r
			}
		}
		kinds := []string{"member", "relay", "leader"}
		for i, r := range []*router{member, relay, leader} {
			kind := kinds[i]
			if r == nil {
				continue // the leaders are the only relays
			}
			f.setEnded(true, r)
			f.run(convergenceTime)
			f.assertAgreement(fmt.Sprintf("%s of %d ended", kind, n))
			f.setEnded(false, r)
			f.run(convergenceTime)
			f.assertAgreement(fmt.Sprintf("%s of %d came back", kind, n))
		}
	}
}

// TestRelaysOfACellThatEndTogetherAreReplaced stops all relays of a cell, and then all leaders of a
// data centre, at the same moment.
func TestRelaysOfACellThatEndTogetherAreReplaced(t *testing.T) {
	f := newConvergedFleet(t, largest, 2)
	cell := f.cellOf(f.routers[largest*7/10], largest)
	var relays, leaders []*router
	for _, r := range f.routers {
		if r.node == nil {
			continue
		}
		if f.cellOf(r, largest) == cell && r.role.Serves {
			relays = append(relays, r)
		}
		if r.dataCentre == "dc-3" && r.role.Leads {
			leaders = append(leaders, r)
		}
	}
	assert.Equal(t, len(relays), feed.LeaderCount)
	f.setEnded(true, relays...)
	f.run(2 * convergenceTime)
	f.assertAgreement("relays of a cell ended")
	f.setEnded(true, leaders...)
	f.run(2 * convergenceTime)
	f.assertAgreement("leaders of a data centre ended")
}

// TestLossOfManyIsKnownToAll stops half of the fleet at once and restarts it.
func TestLossOfManyIsKnownToAll(t *testing.T) {
	f := newConvergedFleet(t, largest, 2)
	var ended []*router
	for _, r := range f.routers {
		if f.random.Float64() < 0.5 && f.sample[f.cellOf(r, largest)] != r {
			ended = append(ended, r)
		}
	}
	f.setEnded(true, ended...)
	f.run(6 * convergenceTime)
	f.assertAgreement("half ended")
	f.setEnded(false, ended...)
	f.run(2 * convergenceTime)
	f.assertAgreement("they came back")
}

// wrongCuts returns how many times a router wrongly considers a data centre cut off, or reachable.
func (f *fleet) wrongCuts() (wrong int) {
	for _, r := range f.routers {
		if r.node == nil || r.ended {
			continue
		}
		lastSeen := r.node.LastSeen()
		for dc := range 5 {
			name := fmt.Sprint("dc-", dc)
			away := name != r.dataCentre && (name == f.cut || r.dataCentre == f.cut)
			if name != r.dataCentre && f.clock.Since(lastSeen[name]) > DataCentreTimeout != away {
				wrong++
			}
		}
	}
	return wrong
}

// TestCutOffDataCentreIsDetectedSoon checks which data centres the routers consider cut off: for
// half a minute with lost datagrams but without a cut, while one is cut off, and after its
// recovery.
func TestCutOffDataCentreIsDetectedSoon(t *testing.T) {
	f := newConvergedFleet(t, 200, 7)
	f.lossRate = 0.01
	for range 150 {
		f.run(2 * tick)
		assert.Equal(t, f.wrongCuts(), 0)
	}
	f.lossRate = 0
	for _, cut := range []string{"dc-2", ""} {
		f.cut = cut
		f.run(DataCentreTimeout + 3*heartbeatInterval + 2*tick)
		assert.Equal(t, f.wrongCuts(), 0, "cut %q", cut)
	}
}

// TestCutOffDataCentreRecovers cuts a data centre off for longer than the TTL of reports.
func TestCutOffDataCentreRecovers(t *testing.T) {
	f := newConvergedFleet(t, 200, 4)
	f.cut = "dc-2"
	f.run(ReportTTL + convergenceTime)
	f.assertAgreement("cut off")
	f.cut = ""
	f.run(convergenceTime)
	f.assertAgreement("healed")
}

// TestLostDatagramsCauseNoFalseFailures loses a twentieth of all datagrams for a minute.
func TestLostDatagramsCauseNoFalseFailures(t *testing.T) {
	f := newConvergedFleet(t, 200, 5)
	f.lossRate = 0.05
	wrong := 0
	for range 60 {
		f.run(time.Second)
		_, sum := f.wrongBeliefs()
		wrong += sum
	}
	assert.Equal(t, wrong, 0)
}

// TestCostDoesNotGrowWithTheFleet counts the datagrams of the busiest router of each kind.
func TestCostDoesNotGrowWithTheFleet(t *testing.T) {
	perSecond := make(map[int]int)
	members := make(map[int]int)
	sizes := append(slices.Clone(sizes), 2*largest)
	for _, n := range sizes {
		f := newConvergedFleet(t, n, 1)
		for _, r := range f.routers {
			r.sent, r.received = 0, 0
		}
		const seconds = 4
		f.run(seconds * time.Second)
		for _, r := range f.routers {
			if r.node != nil && !r.role.Serves {
				members[n] = max(members[n], (r.sent+r.received)/seconds)
			}
			perSecond[n] = max(perSecond[n], (r.sent+r.received)/seconds)
		}
	}
	t.Log("datagrams a second of the busiest router, and of the busiest member:", perSecond, members)
	for _, n := range sizes[1:] {
		assert.Assert(t, members[n] <= members[sizes[0]]+1)
		assert.Assert(t, perSecond[n] <= 2*perSecond[sizes[0]])
	}
	assert.Assert(t, perSecond[2*largest] <= 13*perSecond[largest]/10)
}
