package proof

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"zinccove.example/standin/engine"
	"zinccove.example/standin/fleet"
)

// TestCallersThatReadNothingDoNotKeepSlots has callers ask for long answers
// and read none of them. Their requests must be cancelled once they have taken
// no bytes for the write timeout, so that others get the slots.
func TestCallersThatReadNothingDoNotKeepSlots(t *testing.T) {
	s := newSite(t, 1, "--token-time", "200us")
	for i := range slots {
		conn, err := net.Dial("tcp", s.Routers[0].Caller.String())
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
		body := completion(fmt.Sprintf("slow %d", i), 10_000_000, true)
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			fleet.CustomerKey("a"), len(body), body)
		assert.NilError(t, err)
	}
	deadline := time.Now().Add(60 * time.Second)
	for {
		var counts engine.Counts
		assert.NilError(t, fleet.GetJSON(s.Engines[0].Address, "/counts", &counts))
		if counts.Steps > 0 && counts.Running == 0 && counts.BusySlots > 0 {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "slow callers keep the slots: %+v", counts)
		time.Sleep(100 * time.Millisecond)
	}
	got := stream(s.Routers[0], "one that reads")
	assert.Equal(t, got.outcome, answered, "%+v", got)
}
