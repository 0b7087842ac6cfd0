package explain

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const departuresLog = `
{"host":"r1","target":"t1","version":5,"draining":true,"time":"2026-01-01T10:00:01Z","message":"target entry"}
{"host":"r1","target":"t2","gone":false,"time":"2026-01-01T10:00:02Z","message":"target entry removed"}
{"host":"r1","targets":["t2","t3"],"time":"2026-01-01T10:00:03.2Z","message":"targets gone, their entries did not come back"}
{"host":"r2","target":"t2","peer":"r1","time":"2026-01-01T10:00:03.3Z","message":"target is leaving, as another router says"}
{"host":"r2","request":"early","target":"t1","time":"2026-01-01T10:00:02.9Z","message":"request placed"}
{"host":"r2","request":"late","target":"t1","time":"2026-01-01T10:00:03.5Z","message":"request placed"}
{"host":"r2","target":"t1","version":4,"draining":false,"time":"2026-01-01T10:00:05Z","message":"target entry"}
{"host":"r2","target":"t1","version":5,"draining":true,"time":"2026-01-01T10:00:05Z","message":"target entry"}
{"host":"r1","target":"t4","version":6,"gone":false,"time":"2026-01-01T10:00:06Z","message":"target entry removed"}
{"host":"r1","target":"t4","version":7,"draining":false,"time":"2026-01-01T10:00:07Z","message":"target entry"}
{"host":"r2","target":"t5","started":"2026-01-01T09:00:00Z","time":"2026-01-01T10:00:08Z","message":"target says that it leaves"}
{"host":"r1","target":"t5","peer":"r2","time":"2026-01-01T10:00:08.1Z","message":"target says that it leaves, as another router heard"}
{"host":"r1","target":"t5","version":8,"started":"2026-01-01T09:00:00Z","draining":false,"time":"2026-01-01T10:00:09Z","message":"target entry"}
{"host":"r1","request":"later","target":"t5","time":"2026-01-01T10:00:11Z","message":"request placed"}
{"host":"r2","target":"t6","started":"2026-01-01T09:00:00Z","time":"2026-01-01T10:00:08Z","message":"target says that it leaves"}
{"host":"r1","target":"t6","version":9,"started":"2026-01-01T10:00:08Z","draining":false,"time":"2026-01-01T10:00:09Z","message":"target entry"}
`

func TestDeparturesSummary(t *testing.T) {
	d := NewDepartures(2 * time.Second)
	// Logs may be read in any order.
	lines := strings.SplitAfter(departuresLog, "\n")
	slices.Reverse(lines)
	for _, text := range lines {
		assert.NilError(t, d.Read(strings.NewReader(text)))
	}
	var out strings.Builder
	assert.NilError(t, d.Write(&out))
	assert.Equal(t, out.String(), `target  first known  last router after (s)  router  way                      placed later than 2s  first of them
t1      10:00:01     4.00                   r2      store                    1                     late by r2
t2      10:00:02     1.30                   r2      another router           0                     
t5      10:00:08     0.10                   r1      another router           1                     later by r1
t3      10:00:03     0.00                   r1      entry did not come back  0                     
`)
}

func TestNoDeparturesAreAnError(t *testing.T) {
	assert.ErrorIs(t, NewDepartures(time.Second).Write(new(strings.Builder)), ErrNoDepartures)
}
