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
	// tick is the time between looks of the simulated routers, and for which a datagram is
	// on its way.
	tick = 100 * time.Millisecond
	// inFull is the number of routers of each cell, by name, that are simulated in full, so
	// that they can become relays. The others only send heartbeats.
	inFull = 9
	// knownWithin is the time by which all know that a router is gone or back.
	knownWithin = 3 * time.Second
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

// fleet is a simulated fleet on a clock of its own.
type fleet struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	random  *rand.Rand
	routers []*router
	at      map[netip.AddrPort]*router
	byName  map[string]*router
	// lost is the part of the datagrams that are lost, cut a data centre that is cut off.
	lost float64
	cut  string
	// queue holds what is on its way.
	queue []datagram
	// sample is a router in full of each cell that is no relay at first.
	sample map[Cell]*router
}

type datagram struct {
	from, to *router
	message  Message
}

// newFleet returns a fleet of five data centres with so many routers in all, which know each
// other from the store.
func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{
		t: t, clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, seed)),
		at: make(map[netip.AddrPort]*router), byName: make(map[string]*router), sample: make(map[Cell]*router),
	}
	cells := make(map[Cell]int)
	for i := range n {
		r := &router{
			name: fmt.Sprintf("front-%05d", i), dataCentre: fmt.Sprint("dc-", i%5), incarnation: uint64(i + 1),
			peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		}
		f.routers = append(f.routers, r)
		f.at[r.peer], f.byName[r.name] = r, r
		cell := f.cellOf(r, n)
		cells[cell]++
		if cells[cell] <= inFull {
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

// start gives a router its node, which knows all others.
func (f *fleet) start(r *router) {
	r.table = member.New(member.Options{Self: r.name, Clock: f.clock, Timeout: ReportTTL})
	r.node = New(Options{Host: r.name, DataCentre: r.dataCentre, Clock: f.clock, Members: r.table, Random: f.random})
}

// learnAll makes all routers known to all.
func (f *fleet) learnAll() {
	for _, r := range f.routers {
		if r.node == nil {
			continue
		}
		for _, o := range f.routers {
			r.table.Upsert(member.Address{Name: o.name, DataCentre: o.dataCentre, Peer: o.peer})
		}
	}
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for range d / tick {
		f.clock.Advance(tick)
		f.deliver()
		for i, r := range f.routers {
			switch {
			case r.ended:
			case r.node != nil:
				f.look(r)
			case (i+int(f.clock.Now().UnixMilli()/tick.Milliseconds()))%int(beatEvery/tick) == 0: // a little more often
				f.beat(r)
			}
		}
	}
}

// look is what the control loop of a router does.
func (f *fleet) look(r *router) {
	r.table.Expire()
	r.node.Apply()
	f.findRole(r)
	for _, m := range r.node.Due() {
		f.send(r, m)
	}
}

// roleEvery is the time between looks of a router at its role.
const roleEvery = 500 * time.Millisecond

func (f *fleet) findRole(r *router) {
	now := f.clock.Now()
	if now.Before(r.nextRole) {
		return
	}
	r.nextRole = now.Add(roleEvery)
	var own []string
	known := 1
	for _, h := range r.table.Hosts() {
		if h.DataCentre != r.dataCentre {
			continue
		}
		known++
		if here(h) && !h.Leaving {
			own = append(own, h.Name)
		}
	}
	r.role = feed.RoleOf(r.name, own, known)
	r.node.SetRole(r.role, known)
}

// beat sends a heartbeat of a router that is not simulated in full to the relays that
// another one of its cell knows.
func (f *fleet) beat(r *router) {
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
		to := f.at[addr]
		r.sent++
		away := (r.dataCentre == f.cut) != (to.dataCentre == f.cut)
		if f.random.Float64() < f.lost || away {
			continue
		}
		f.queue = append(f.queue, datagram{from: r, to: to, message: m})
	}
}

func (f *fleet) deliver() {
	queue := f.queue
	f.queue = nil
	for _, d := range queue {
		if d.to.ended || d.to.node == nil {
			continue
		}
		d.to.received++
		d.from.sequence++
		h, news := d.to.table.RecordHeartbeat(&zinccovev1.Heartbeat{
			Incarnation: d.from.incarnation, Sequence: d.from.sequence,
			Host: &zinccovev1.HostInfo{Name: d.from.name, DataCentre: d.from.dataCentre, Peer: d.from.peer.String(), Control: d.from.peer.String()},
		})
		if news == member.Ignored {
			continue
		}
		if reply := d.to.node.Receive(h, d.message); reply != nil {
			f.send(d.to, *reply)
		}
	}
}

// wrong returns how many of the others each of the routers that run takes for something that
// they are not, at most, and in sum.
func (f *fleet) wrong() (most, sum int) {
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

// agrees fails the test unless all know who is there.
func (f *fleet) agrees(what string) {
	f.t.Helper()
	most, sum := f.wrong()
	assert.Equal(f.t, most, 0, "%s: %d wrong beliefs in sum", what, sum)
}

// newRunning returns a fleet that has found itself.
func newRunning(t *testing.T, n int, seed uint64) *fleet {
	f := newFleet(t, n, seed)
	f.learnAll()
	f.run(knownWithin + silentAfter)
	f.agrees("after the start")
	return f
}

// end ends routers, or starts them again as other runs.
func (f *fleet) end(ended bool, list ...*router) {
	for _, r := range list {
		r.ended = ended
		if !ended {
			r.incarnation += uint64(len(f.routers))
			r.sequence = 0
			if r.node != nil {
				f.start(r)
				f.learnAll()
			}
		}
	}
}

var sizes = []int{200, largest}

// TestRouterThatEndsIsKnownToAllInTime ends a router of each kind, and all relays of a cell
// at once, at all sizes; then they come back.
func TestRouterThatEndsIsKnownToAllInTime(t *testing.T) {
	for _, n := range sizes {
		f := newRunning(t, n, 1)
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
			f.end(true, r)
			f.run(knownWithin)
			f.agrees(fmt.Sprintf("%s of %d ended", kind, n))
			f.end(false, r)
			f.run(knownWithin)
			f.agrees(fmt.Sprintf("%s of %d came back", kind, n))
		}
	}
}

// TestRelaysOfACellThatEndTogetherAreReplaced ends all relays of a cell, and all leaders of a
// data centre, at the same moment.
func TestRelaysOfACellThatEndTogetherAreReplaced(t *testing.T) {
	f := newRunning(t, largest, 2)
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
	f.end(true, relays...)
	f.run(2 * knownWithin)
	f.agrees("relays of a cell ended")
	f.end(true, leaders...)
	f.run(2 * knownWithin)
	f.agrees("leaders of a data centre ended")
}

// TestLossOfManyIsKnownToAll ends half of the fleet at once, and has it come back.
func TestLossOfManyIsKnownToAll(t *testing.T) {
	f := newRunning(t, largest, 2)
	var ended []*router
	for _, r := range f.routers {
		if f.random.Float64() < 0.5 && f.sample[f.cellOf(r, largest)] != r {
			ended = append(ended, r)
		}
	}
	f.end(true, ended...)
	f.run(6 * knownWithin)
	f.agrees("half ended")
	f.end(false, ended...)
	f.run(2 * knownWithin)
	f.agrees("they came back")
}

// cutOff returns how many times a router takes a data centre for cut off that is not, or the
// other way round.
func (f *fleet) cutOff() (wrong int) {
	for _, r := range f.routers {
		if r.node == nil || r.ended {
			continue
		}
		heard := r.node.LastSeen()
		for dc := range 5 {
			name := fmt.Sprint("dc-", dc)
			away := name != r.dataCentre && (name == f.cut || r.dataCentre == f.cut)
			if name != r.dataCentre && f.clock.Since(heard[name]) > DataCentreTimeout != away {
				wrong++
			}
		}
	}
	return wrong
}

// TestCutsOfDataCentresAreNoticedSoon watches who takes which data centre for cut off, for
// half a minute without a cut, and through one.
func TestCutsOfDataCentresAreNoticedSoon(t *testing.T) {
	f := newRunning(t, 200, 7)
	f.lost = 0.01
	for range 150 {
		f.run(2 * tick)
		assert.Equal(t, f.cutOff(), 0)
	}
	f.lost = 0
	for _, cut := range []string{"dc-2", ""} {
		f.cut = cut
		f.run(DataCentreTimeout + 3*beatEvery + 2*tick)
		assert.Equal(t, f.cutOff(), 0, "cut %q", cut)
	}
}

// TestDataCentreThatIsCutOffComesBack cuts a data centre off for longer than reports last.
func TestDataCentreThatIsCutOffComesBack(t *testing.T) {
	f := newRunning(t, 200, 4)
	f.cut = "dc-2"
	f.run(ReportTTL + knownWithin)
	f.agrees("cut off")
	f.cut = ""
	f.run(knownWithin)
	f.agrees("healed")
}

// TestLostDatagramsMakeNobodyGo loses a twentieth of all datagrams for a minute.
func TestLostDatagramsMakeNobodyGo(t *testing.T) {
	f := newRunning(t, 200, 5)
	f.lost = 0.05
	wrong := 0
	for range 60 {
		f.run(time.Second)
		_, sum := f.wrong()
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
		f := newRunning(t, n, 1)
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
