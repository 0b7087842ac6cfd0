package gateway

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/peer"
	"zinccove.example/zinccove/place"
)

// encodeReport writes what this router announces about its requests, as far as
// it fits a datagram: uses by customer if they are due, then the targets with
// the most requests, then prompts placed; those that do not fit wait for
// the next heartbeat. Uses come first, as shares computed without some routers'
// uses are wrong for everybody.
func encodeReport(hb *zinccovev1.Heartbeat, p *place.Placer, uses bool) {
	room := room{left: peer.MaxBody - proto.Size(hb)}
	if uses {
		for customer, use := range p.Uses() {
			u := &zinccovev1.CustomerUse{Customer: uint32(customer), Served: uint32(use.Served), Asked: uint32(use.Asked)}
			if room.takes(u) {
				hb.Uses = append(hb.Uses, u)
			}
		}
	}
	for _, load := range heaviest(p.Own()) {
		if room.takes(load) {
			hb.Loads = append(hb.Loads, load)
		}
	}
	encodeReadings(hb, p, &room)
}

// encodeReadings writes the prompts that were placed, as far as there is room.
func encodeReadings(hb *zinccovev1.Heartbeat, p *place.Placer, room *room) {
	p.TakeReadings(func(r place.Reading) bool {
		reading := &zinccovev1.Reading{Target: uint32(r.Target), Unread: uint32(r.Unread)}
		for _, part := range r.Parts {
			reading.Parts = append(reading.Parts, uint32(part))
		}
		if !room.takes(reading) {
			return false
		}
		hb.Readings = append(hb.Readings, reading)
		return true
	})
}

// room is what is left of a datagram in bytes.
type room struct{ left int }

// itemOverhead is the key and length of an item of a list in bytes.
const itemOverhead = 3

// takes reports whether an item fits, and reserves its place.
func (r *room) takes(m proto.Message) bool {
	size := proto.Size(m) + itemOverhead
	if size > r.left {
		return false
	}
	r.left -= size
	return true
}

// heaviest returns loads, those with the most requests first.
func heaviest(own map[place.Hash]place.Load) []*zinccovev1.TargetLoad {
	loads := make([]*zinccovev1.TargetLoad, 0, len(own))
	for target, load := range own {
		loads = append(loads, &zinccovev1.TargetLoad{
			Target: uint32(target), Requests: uint32(load.Requests),
		})
	}
	slices.SortFunc(loads, func(a, b *zinccovev1.TargetLoad) int {
		return cmp.Compare(b.Requests, a.Requests)
	})
	return loads
}

// decodeReport reads what another router announces.
func decodeReport(hb *zinccovev1.Heartbeat) place.Report {
	var r place.Report
	if !hb.Partial {
		r.Loads = make(map[place.Hash]place.Load, len(hb.Loads))
	}
	for _, t := range hb.Loads {
		r.Loads[place.Hash(t.Target)] = place.Load{Requests: int(t.Requests)}
	}
	for _, reading := range hb.Readings {
		parts := make([]place.Hash, len(reading.Parts))
		for i, part := range reading.Parts {
			parts[i] = place.Hash(part)
		}
		r.Readings = append(r.Readings, place.Reading{Target: place.Hash(reading.Target), Parts: parts, Unread: int(reading.Unread)})
	}
	if len(hb.Uses) > 0 {
		r.Uses = make(map[place.Hash]place.Use, len(hb.Uses))
	}
	for _, u := range hb.Uses {
		r.Uses[place.Hash(u.Customer)] = place.Use{Asked: int(u.Asked), Served: int(u.Served)}
	}
	return r
}
