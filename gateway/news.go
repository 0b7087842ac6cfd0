package gateway

import (
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// newsPeriod is how long what was placed is collected before the routers that answer
// for the targets are told: engines read some hundred tokens in it.
const newsPeriod = 5 * time.Millisecond

// news tells when others are to be told of placed prompts. It belongs to the control
// loop.
type news struct {
	// due fires when they are to be told; nil while nothing was placed.
	due <-chan time.Time
}

// placed notes that prompts were placed.
func (l *loop) placed() {
	if l.news.due == nil {
		l.news.due = l.gateway.clock.After(newsPeriod)
	}
}

// header begins a heartbeat.
func (l *loop) header() *zinccovev1.Heartbeat {
	l.sequence++
	return &zinccovev1.Heartbeat{
		Incarnation: l.incarnation, Sequence: l.sequence, ConfigVersion: l.version(), Leaving: l.gateway.stopping.Load(),
	}
}
