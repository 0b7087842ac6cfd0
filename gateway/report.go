package gateway

import (
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/place"
)

// encodeReport writes what this router announces about its requests.
func encodeReport(hb *zinccovev1.Heartbeat, p *place.Placer, uses bool) {
	for target, load := range p.Own() {
		hb.Loads = append(hb.Loads, &zinccovev1.TargetLoad{
			Target: uint32(target), Requests: uint32(load.Requests), Unread: uint32(load.Unread),
		})
	}
	for _, r := range p.TakeReadings() {
		reading := &zinccovev1.Reading{Target: uint32(r.Target), Unread: uint32(r.Unread)}
		for _, part := range r.Parts {
			reading.Parts = append(reading.Parts, uint32(part))
		}
		hb.Readings = append(hb.Readings, reading)
	}
	if !uses {
		return
	}
	for customer, use := range p.Uses() {
		hb.Uses = append(hb.Uses, &zinccovev1.CustomerUse{
			Customer: uint32(customer), Served: uint32(use.Served), Asked: uint32(use.Asked),
		})
	}
}

// decodeReport reads what another router announces.
func decodeReport(hb *zinccovev1.Heartbeat) place.Report {
	r := place.Report{Loads: make(map[place.Hash]place.Load, len(hb.Loads))}
	for _, t := range hb.Loads {
		r.Loads[place.Hash(t.Target)] = place.Load{Requests: int(t.Requests), Unread: int(t.Unread)}
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
