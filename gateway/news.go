package gateway

import (
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// newsPeriod is how long what was placed is collected before the routers that answer
// for the targets are told: engines read some hundred tokens in it.
const newsPeriod = 5 * time.Millisecond

// placed notes that prompts were placed.
func (l *loop) placed() {
	if l.newsDue == nil {
		l.newsDue = l.gateway.clock.After(newsPeriod)
	}
}

// header begins a heartbeat.
func (l *loop) header() *zinccovev1.Heartbeat {
	return l.contact.NewHeartbeat(l.version(), l.gateway.stopping.Load())
}
