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
	for customer, use := range p.Uses() {
		u := encodeUse(customer, use)
		if room.reserve(u) {
			hb.Uses = append(hb.Uses, u)
		}
	}
}

func encodeUse(customer place.Hash, u place.Use) *zinccovev1.CustomerUse {
	return &zinccovev1.CustomerUse{
		Customer: uint64(customer), Served: uint32(max(u.Served, 0)), Asked: uint32(max(u.Asked, 0)),
		CallsServed: uint32(max(u.CallsServed, 0)), CallsAsked: uint32(max(u.CallsAsked, 0)),
	}
}

func decodeUse(u *zinccovev1.CustomerUse) place.Use {
	return place.Use{Asked: int(u.Asked), Served: int(u.Served), CallsAsked: int(u.CallsAsked), CallsServed: int(u.CallsServed)}
}

func decodeUses(uses []*zinccovev1.CustomerUse) map[place.Hash]place.Use {
	m := make(map[place.Hash]place.Use, len(uses))
	for _, u := range uses {
		m[place.Hash(u.Customer)] = decodeUse(u)
	}
	return m
}

// encodeUpdate moves as much of an update into a heartbeat as fits a datagram.
func encodeUpdate(hb *zinccovev1.Heartbeat, n *place.News) {
	room := room{left: peer.MaxBody - proto.Size(hb)}
	for len(n.Readings) > 0 {
		reading := encodeReading(n.Readings[0])
		if !room.reserve(reading) {
			return
		}
		hb.Readings = append(hb.Readings, reading)
		n.Readings = n.Readings[1:]
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
		event := &zinccovev1.FirstEvent{Target: uint64(e.Target), Number: e.Number, TookUs: uint32(e.Took.Microseconds()), ToRead: uint32(e.ToRead)}
		if !room.reserve(event) {
			return
		}
		hb.FirstEvents = append(hb.FirstEvents, event)
		n.FirstEvents = n.FirstEvents[1:]
	}
}

func encodeReading(r place.Reading) *zinccovev1.Reading {
	return &zinccovev1.Reading{Target: uint64(r.Target), Number: r.Number, Unread: uint32(r.Unread), Copied: uint32(r.Copied), Parts: numbers(r.Parts)}
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
		r.News.Loads = make(map[place.Hash]place.Load, len(hb.Loads))
	}
	for _, t := range hb.Loads {
		r.News.Loads[place.Hash(t.Target)] = place.Load{Requests: int(t.Requests)}
	}
	for _, x := range hb.Readings {
		r.News.Readings = append(r.News.Readings, place.Reading{
			Target: place.Hash(x.Target), Number: x.Number, Parts: hashes(x.Parts), Unread: int(x.Unread), Copied: int(x.Copied),
		})
	}
	for _, e := range hb.FirstEvents {
		r.News.FirstEvents = append(r.News.FirstEvents, place.FirstEvent{
			Target: place.Hash(e.Target), Number: e.Number, Took: time.Duration(e.TookUs) * time.Microsecond, ToRead: int(e.ToRead),
		})
	}
	if len(hb.Uses) > 0 {
		r.Uses = decodeUses(hb.Uses)
	}
	return r
}

func encodeQuestion(q place.Question) *zinccovev1.TargetQuestion {
	t := &zinccovev1.TargetQuestion{Target: uint64(q.Target), Parts: numbers(q.Parts), Total: uint32(q.Total), First: q.First}
	for _, size := range q.Sizes {
		t.Sizes = append(t.Sizes, uint32(size))
	}
	return t
}

// decodeQuestion decodes a query. Parts without a size are left out.
func decodeQuestion(t *zinccovev1.TargetQuestion) place.Question {
	q := place.Question{Target: place.Hash(t.Target), Total: int(t.Total), First: t.First}
	q.Parts = hashes(t.Parts[:min(len(t.Parts), len(t.Sizes))])
	for i := range q.Parts {
		q.Sizes = append(q.Sizes, int(t.Sizes[i]))
	}
	return q
}

func encodeAnswer(a place.Answer) *zinccovev1.TargetAnswer {
	return &zinccovev1.TargetAnswer{
		Target: uint64(a.Target), Waiting: uint32(a.Waiting), Requests: uint32(a.Requests), Unread: uint32(a.Unread), Slowness: float32(a.Slowness),
		BaseMs: float32(a.Line.Base), PerTokenMs: float32(a.Line.PerToken), Learned: uint32(a.Line.Learned),
	}
}

func decodeAnswer(t *zinccovev1.TargetAnswer) place.Answer {
	return place.Answer{
		Target: place.Hash(t.Target), Waiting: int(t.Waiting), Requests: int(t.Requests), Unread: int(t.Unread), Slowness: float64(t.Slowness),
		Line: place.Line{Base: float64(t.BaseMs), PerToken: float64(t.PerTokenMs), Learned: int(t.Learned)},
	}
}
