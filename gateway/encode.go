package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/peer"
	"zinccove.example/zinccove/place"
)

// encodeUses adds the usage of this router by customers to a heartbeat, as far as it fits a
// datagram.
func encodeUses(hb *zinccovev1.Heartbeat, p *place.Placer) {
	room := room{left: peer.MaxBody - proto.Size(hb)}
	for customer, use := range p.Usage() {
		u := encodeUse(customer, use)
		if room.reserve(u) {
			hb.Uses = append(hb.Uses, u)
		}
	}
}

func encodeUse(customer place.Hash, u place.Usage) *zinccovev1.CustomerUse {
	return &zinccovev1.CustomerUse{
		Customer: uint64(customer), Served: uint32(max(u.Served, 0)), Asked: uint32(max(u.Requested, 0)),
		CallsServed: uint32(max(u.CallsServed, 0)), CallsAsked: uint32(max(u.CallsRequested, 0)),
	}
}

func decodeUse(u *zinccovev1.CustomerUse) place.Usage {
	return place.Usage{Requested: int(u.Asked), Served: int(u.Served), CallsRequested: int(u.CallsAsked), CallsServed: int(u.CallsServed)}
}

func decodeUses(uses []*zinccovev1.CustomerUse) map[place.Hash]place.Usage {
	m := make(map[place.Hash]place.Usage, len(uses))
	for _, u := range uses {
		m[place.Hash(u.Customer)] = decodeUse(u)
	}
	return m
}

// encodeUpdate moves as much of an update into a heartbeat as fits a datagram.
func encodeUpdate(hb *zinccovev1.Heartbeat, n *place.Update) {
	room := room{left: peer.MaxBody - proto.Size(hb)}
	for len(n.Prefills) > 0 {
		reading := encodeReading(n.Prefills[0])
		if !room.reserve(reading) {
			return
		}
		hb.Readings = append(hb.Readings, reading)
		n.Prefills = n.Prefills[1:]
	}
	for target, load := range n.Loads {
		l := &zinccovev1.TargetLoad{Target: uint64(target), Requests: uint32(load.Requests)}
		if !room.reserve(l) {
			return
		}
		hb.Loads = append(hb.Loads, l)
		delete(n.Loads, target)
	}
	for len(n.FirstEvents) > 0 {
		e := n.FirstEvents[0]
		event := &zinccovev1.FirstEvent{Target: uint64(e.Target), Number: e.Number, TookUs: uint32(e.Latency.Microseconds()), ToRead: uint32(e.PrefillTokens)}
		if !room.reserve(event) {
			return
		}
		hb.FirstEvents = append(hb.FirstEvents, event)
		n.FirstEvents = n.FirstEvents[1:]
	}
	for len(n.Holdings) > 0 {
		holding := encodeHolding(n.Holdings[0])
		if !room.reserve(holding) {
			return
		}
		hb.Holdings = append(hb.Holdings, holding)
		n.Holdings = n.Holdings[1:]
	}
}

func encodeReading(r place.Prefill) *zinccovev1.Reading {
	return &zinccovev1.Reading{Target: uint64(r.Target), Number: r.Number, Unread: uint32(r.Tokens), Copied: uint32(r.CopiedTokens), Parts: numbers(r.PrefixParts)}
}

func encodeHolding(h place.Holding) *zinccovev1.Holding {
	return &zinccovev1.Holding{Key: uint64(h.Key), Target: uint64(h.Target), Tokens: uint32(h.Tokens), Evicted: h.Evicted}
}

func numbers(hashes []place.Hash) []uint64 {
	list := make([]uint64, len(hashes))
	for i, h := range hashes {
		list[i] = uint64(h)
	}
	return list
}

func hashes(numbers []uint64) []place.Hash {
	list := make([]place.Hash, len(numbers))
	for i, n := range numbers {
		list[i] = place.Hash(n)
	}
	return list
}

// room is the remaining space of a datagram in bytes.
type room struct{ left int }

// itemOverhead is the size of the key and length of a list item in bytes.
const itemOverhead = 3

// reserve reports whether an item fits, and reserves its space if it does.
func (r *room) reserve(m proto.Message) bool {
	size := proto.Size(m) + itemOverhead
	if size > r.left {
		return false
	}
	r.left -= size
	return true
}

// decodeReport decodes what another router reports in a heartbeat.
func decodeReport(hb *zinccovev1.Heartbeat) place.Report {
	var r place.Report
	if len(hb.Loads) > 0 {
		r.Update.Loads = make(map[place.Hash]place.Load, len(hb.Loads))
	}
	for _, t := range hb.Loads {
		r.Update.Loads[place.Hash(t.Target)] = place.Load{Requests: int(t.Requests)}
	}
	for _, x := range hb.Readings {
		r.Update.Prefills = append(r.Update.Prefills, place.Prefill{
			Target: place.Hash(x.Target), Number: x.Number, PrefixParts: hashes(x.Parts), Tokens: int(x.Unread), CopiedTokens: int(x.Copied),
		})
	}
	for _, e := range hb.FirstEvents {
		r.Update.FirstEvents = append(r.Update.FirstEvents, place.FirstEvent{
			Target: place.Hash(e.Target), Number: e.Number, Latency: time.Duration(e.TookUs) * time.Microsecond, PrefillTokens: int(e.ToRead),
		})
	}
	for _, h := range hb.Holdings {
		r.Update.Holdings = append(r.Update.Holdings, place.Holding{Key: place.Hash(h.Key), Target: place.Hash(h.Target), Tokens: int(h.Tokens), Evicted: h.Evicted})
	}
	if len(hb.Uses) > 0 {
		r.Usage = decodeUses(hb.Uses)
	}
	return r
}

func encodeQuestion(q place.Query) *zinccovev1.TargetQuestion {
	t := &zinccovev1.TargetQuestion{Target: uint64(q.Target), Parts: numbers(q.PrefixParts), Total: uint32(q.PromptTokens), First: q.FirstHome}
	for _, size := range q.PartTokens {
		t.Sizes = append(t.Sizes, uint32(size))
	}
	return t
}

// decodeQuestion decodes a query. Parts without a size are left out.
func decodeQuestion(t *zinccovev1.TargetQuestion) place.Query {
	q := place.Query{Target: place.Hash(t.Target), PromptTokens: int(t.Total), FirstHome: t.First}
	q.PrefixParts = hashes(t.Parts[:min(len(t.Parts), len(t.Sizes))])
	for i := range q.PrefixParts {
		q.PartTokens = append(q.PartTokens, int(t.Sizes[i]))
	}
	return q
}

func encodeAnswer(a place.Reply) *zinccovev1.TargetAnswer {
	return &zinccovev1.TargetAnswer{
		Target: uint64(a.Target), Waiting: uint32(a.PendingTokens), Requests: uint32(a.Requests), Unread: uint32(a.PrefillTokens), Slowness: float32(a.Slowness),
		BaseMs: float32(a.LatencyModel.Base), PerTokenMs: float32(a.LatencyModel.PerToken), Learned: uint32(a.LatencyModel.Samples),
		Holder: uint64(a.Holder), HolderTokens: uint32(a.HolderTokens), Wanted: a.Wanted,
	}
}

func decodeAnswer(t *zinccovev1.TargetAnswer) place.Reply {
	return place.Reply{
		Target: place.Hash(t.Target), PendingTokens: int(t.Waiting), Requests: int(t.Requests), PrefillTokens: int(t.Unread), Slowness: float64(t.Slowness),
		LatencyModel: place.LatencyModel{Base: float64(t.BaseMs), PerToken: float64(t.PerTokenMs), Samples: int(t.Learned)},
		Holder:       place.Hash(t.Holder), HolderTokens: int(t.HolderTokens), Wanted: t.Wanted,
	}
}
