package gateway

import (
	"time"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// updateDelay is how long placed prompts are collected before an update is sent to the owners of
// their targets. Engines process some hundred prompt tokens in that time.
const updateDelay = 5 * time.Millisecond

// scheduleUpdate schedules an update after prompts were placed.
func (l *loop) scheduleUpdate() {
	if l.updateDue == nil {
		l.updateDue = l.gateway.clock.After(updateDelay)
	}
}

// header returns the common fields of a heartbeat.
func (l *loop) header() *zinccovev1.Heartbeat {
	hb := l.contact.NewHeartbeat(l.version(), l.gateway.stopping.Load())
	l.gateway.reportSpare(hb)
	return hb
}
