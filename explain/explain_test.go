package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const log1 = `
  0.1 r1 {"level":"info","host":"r1","version":3,"time":"2026-01-01T10:00:00.1Z","message":"configuration in force"}
not json {
{"level":"info","host":"r1","version":4,"time":"2026-01-01T10:00:01Z","message":"configuration in force"}
{"level":"info","host":"r1","target":"t1","time":"2026-01-01T10:00:01.5Z","message":"target entry"}
{"level":"info","host":"r1","target":"t2","time":"2026-01-01T10:00:01.6Z","message":"target entry"}
{"level":"info","host":"r1","table":"op","time":"2026-01-01T10:00:02Z","message":"store lost"}
{"level":"info","host":"r1","request":"q","target":"t1","predicted_ms":70.5,"time":"2026-01-01T10:00:05Z","message":"request placed"}
{"level":"info","host":"r1","request":"other","target":"t2","time":"2026-01-01T10:00:05Z","message":"request placed"}
{"level":"info","host":"r1","target":"t1","time":"2026-01-01T10:00:05.2Z","message":"target entry removed"}
{"level":"info","host":"r1","request":"q","error":"read stream: EOF","time":"2026-01-01T10:00:06Z","message":"stream cut"}
`

const log2 = `
{"level":"info","host":"r2","version":9,"time":"2026-01-01T10:00:01Z","message":"configuration in force"}
`

func TestTimelineIncludesPriorState(t *testing.T) {
	timeline := NewTimeline("q")
	assert.NilError(t, timeline.Read(strings.NewReader(log2)))
	assert.NilError(t, timeline.Read(strings.NewReader(log1)))
	var out strings.Builder
	assert.NilError(t, timeline.Write(&out))
	assert.Equal(t, out.String(), `what the routers knew before:
     -4.000s r1 configuration in force version=4
     -3.500s r1 target entry target=t1
     -3.000s r1 store lost table=op
request q:
     +0.000s r1 request placed target=t1 predicted_ms=70.5
     +0.200s r1 target entry removed target=t1
     +1.000s r1 stream cut error=read stream: EOF
`)
}

// TestTimelineIncludesAttemptsWithSameFingerprint checks a request that is refused because
// targets terminated during earlier attempts with the same content. The attempts had other
// ids and were sent to other routers, so only the fingerprint links them to the request.
func TestTimelineIncludesAttemptsWithSameFingerprint(t *testing.T) {
	const log = `
{"level":"info","host":"r1","request":"a","target":"t1","failure":"broken","fingerprint":"f1","time":"2026-01-01T10:00:01Z","message":"attempt failed"}
{"level":"info","host":"r2","request":"b","target":"t2","failure":"broken","fingerprint":"f1","time":"2026-01-01T10:00:02Z","message":"attempt failed"}
{"level":"info","host":"r2","request":"x","target":"t2","failure":"broken","fingerprint":"f2","time":"2026-01-01T10:00:02Z","message":"attempt failed"}
{"level":"warn","host":"r1","fingerprint":"f1","peer":"p","time":"2026-01-01T10:00:02.1Z","message":"request barred, as another router says"}
{"level":"warn","host":"r1","fingerprint":"f2","peer":"p","time":"2026-01-01T10:00:02.1Z","message":"request barred, as another router says"}
{"level":"info","host":"r1","request":"q","status":503,"reason":"ends_targets","fingerprint":"f1","time":"2026-01-01T10:00:03Z","message":"request refused"}
`
	timeline := NewTimeline("q")
	assert.NilError(t, timeline.Read(strings.NewReader(log)))
	var out strings.Builder
	assert.NilError(t, timeline.Write(&out))
	assert.Equal(t, out.String(), `what the routers knew before:
     -0.900s r1 request barred, as another router says fingerprint=f1 peer=p
other tries of what it asks for:
     -2.000s r1 attempt failed request=a target=t1 failure=broken fingerprint=f1
     -1.000s r2 attempt failed request=b target=t2 failure=broken fingerprint=f1
request q:
     +0.000s r1 request refused status=503 reason=ends_targets fingerprint=f1
`)
}

// TestTimelineIncludesAttemptsWithSamePart checks a request that is refused because of a part of its
// prompt, under which targets terminated that ran others.
func TestTimelineIncludesAttemptsWithSamePart(t *testing.T) {
	const log = `
{"level":"info","host":"r1","request":"a","target":"t1","fingerprint":"f1","parts":["p0","p1"],"time":"2026-01-01T10:00:01Z","message":"attempt failed"}
{"level":"info","host":"r1","request":"x","target":"t1","fingerprint":"f3","parts":["p0"],"time":"2026-01-01T10:00:01Z","message":"attempt failed"}
{"level":"warn","host":"r1","request":"a","fingerprint":"fp","part":"p1","target":"t1","time":"2026-01-01T10:00:02Z","message":"request barred: targets ended while they ran it"}
{"level":"info","host":"r1","request":"q","status":503,"reason":"ends_targets","fingerprint":"fp","part":"p1","time":"2026-01-01T10:00:03Z","message":"request refused"}
`
	timeline := NewTimeline("q")
	assert.NilError(t, timeline.Read(strings.NewReader(log)))
	var out strings.Builder
	assert.NilError(t, timeline.Write(&out))
	assert.Equal(t, out.String(), `what the routers knew before:
other tries of what it asks for:
     -2.000s r1 attempt failed request=a target=t1 fingerprint=f1 parts=["p0","p1"]
     -1.000s r1 request barred: targets ended while they ran it request=a fingerprint=fp part=p1 target=t1
request q:
     +0.000s r1 request refused status=503 reason=ends_targets fingerprint=fp part=p1
`)
}

func TestUnknownRequestIsAnError(t *testing.T) {
	timeline := NewTimeline("none")
	assert.NilError(t, timeline.Read(strings.NewReader(log1)))
	assert.ErrorIs(t, timeline.Write(new(strings.Builder)), ErrNotFound)
}
