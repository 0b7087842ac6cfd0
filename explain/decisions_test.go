package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const decisionsLog = `
{"host":"r1","request":"a","route":"x","customer":"c","attempt":1,"predicted_ms":70,"time":"2026-01-01T10:00:05Z","message":"request placed"}
{"host":"r1","request":"a","route":"x","customer":"c","attempt":2,"predicted_ms":90,"time":"2026-01-01T10:00:05Z","message":"request placed"}
0.4 r2 {"host":"r2","request":"b","route":"y","customer":"d","status":429,"reason":"overloaded","wait_ms":200,"above_share":true,"time":"2026-01-01T10:00:05Z","message":"request refused"}
{"host":"r2","request":"e","route":"y","customer":"c","status":404,"reason":"no_route","time":"2026-01-01T10:00:06Z","message":"request refused"}
{"host":"r1","request":"a","first_event_ms":85,"time":"2026-01-01T10:00:06Z","message":"stream answered"}
{"host":"r1","request":"unknown","first_event_ms":85,"time":"2026-01-01T10:00:06Z","message":"stream answered"}
`

func TestDecisionsSummary(t *testing.T) {
	d := NewDecisions()
	assert.NilError(t, d.Read(strings.NewReader(decisionsLog)))
	var out strings.Builder
	assert.NilError(t, d.Write(&out))
	var got []string
	for text := range strings.Lines(out.String()) {
		got = append(got, strings.Join(strings.Fields(text), " "))
	}
	assert.Equal(t, strings.Join(got, "\n"), `refused status and reason
1 404 no_route
1 429 overloaded

second placed refused above share wait when refused: median, 90 % (ms)
10:00:05 1 1 1 200, 200
10:00:06 0 1 0 0, 0

route placed refused above share wait when refused: median, 90 % (ms)
y 0 2 1 200, 200
x 1 0 0 0, 0

customer placed refused above share wait when refused: median, 90 % (ms)
c 1 1 0 0, 0
d 0 1 1 200, 200

host placed refused above share wait when refused: median, 90 % (ms)
r2 0 2 1 200, 200
r1 1 0 0 0, 0

expected (ms) streams first event later than expected: 10 %, median, 90 % (ms)
50 to 100 1 15, 15, 15`)
}

func TestLogWithoutDecisionsIsAnError(t *testing.T) {
	d := NewDecisions()
	assert.NilError(t, d.Read(strings.NewReader(log2)))
	assert.ErrorIs(t, d.Write(new(strings.Builder)), ErrNoDecisions)
}
