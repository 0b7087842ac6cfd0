package gateway

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/peer"
)

const (
	// newsPeriod is the least time for which placed prompts are collected before
	// the other routers are told: engines read some hundred tokens in it.
	newsPeriod = 5 * time.Millisecond
	// newsCost is that time for each reachable router, so that what all routers
	// tell each of them stays below 400 datagrams a second: three times the rate of
	// whole heartbeats, which are several times as large.
	newsCost = 2500 * time.Microsecond
)

// news tells when other routers are to be told of placed prompts: long before
// the next heartbeat, as queues at targets live for less than one. It belongs to
// the control loop.
type news struct {
	// due fires when they are to be told; nil while nothing was placed.
	due <-chan time.Time
	// told is when they were told last.
	told time.Time
}

// placed notes that prompts were placed.
func (l *loop) placed() {
	if l.news.due != nil {
		return
	}
	clock := l.gateway.clock
	rest := time.Duration(l.gateway.routers.Load())*newsCost - clock.Since(l.news.told)
	l.news.due = clock.After(max(rest, newsPeriod))
}

// tellPlaced tells the other routers of prompts that were placed.
func (l *loop) tellPlaced() {
	g := l.gateway
	l.news = news{told: g.clock.Now()}
	hb := l.header()
	hb.Partial = true
	encodeReadings(hb, g.placer, &room{left: peer.MaxBody - proto.Size(hb)})
	if len(hb.Readings) == 0 {
		return
	}
	var to []netip.AddrPort
	for _, h := range l.reachable() {
		if h.Peer.IsValid() {
			to = append(to, h.Peer)
		}
	}
	l.send(hb, to)
}

// header begins a heartbeat.
func (l *loop) header() *zinccovev1.Heartbeat {
	l.sequence++
	return &zinccovev1.Heartbeat{
		Incarnation: l.incarnation, Sequence: l.sequence, ConfigVersion: l.version(), Leaving: l.gateway.stopping.Load(),
	}
}
