package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/peer"
	"zinccove.example/zinccove/place"
)

func TestHoldingRoundTrip(t *testing.T) {
	want := []place.Holding{{Key: 1, Target: 2, Tokens: 3}, {Key: 1, Target: 4, Evicted: true}}
	update := place.Update{Holdings: want}
	assert.Assert(t, !update.Empty())
	hb := &zinccovev1.Heartbeat{Incarnation: 1, Sequence: 1, Partial: true}
	encodeUpdate(hb, &update)
	assert.Assert(t, update.Empty())
	assert.DeepEqual(t, decodeReport(roundTrip(t, hb)).Update.Holdings, want)
	reply := place.Reply{Target: 1, PrefillTokens: 6300, Slowness: 1, Holder: 2, HolderTokens: 5400, Wanted: true}
	assert.DeepEqual(t, decodeAnswer(encodeAnswer(reply)), reply)
}

// BenchmarkHolding reports the size of a holding in a datagram of its own, IP and UDP headers
// included, and of a further query with its reply.
func BenchmarkHolding(b *testing.B) {
	size := func(hb *zinccovev1.Heartbeat) float64 {
		hb.Incarnation, hb.SpareMillicores = 1<<60, 150
		datagram, err := peer.Seal([]byte("key"), hb)
		assert.NilError(b, err)
		return float64(len(datagram) + 28)
	}
	big := place.Hash(1 << 60)
	q := place.Query{Target: big, PrefixParts: []place.Hash{big, big, big}, PartTokens: []int{2000, 2000, 2000}, PromptTokens: 8000, FirstHome: true}
	a := place.Reply{Target: big, PendingTokens: 10_000, Requests: 12, PrefillTokens: 8000, Slowness: 1, Holder: big, HolderTokens: 6000, LatencyModel: place.LatencyModel{Base: 50, PerToken: 0.02, Samples: 1000}}
	var holding, query float64
	for b.Loop() {
		update := place.Update{Holdings: []place.Holding{{Key: big, Target: big, Tokens: 6000}}}
		hb := &zinccovev1.Heartbeat{Sequence: 1 << 40, Partial: true, ConfigVersion: 1 << 20}
		encodeUpdate(hb, &update)
		holding = size(hb)
		query = size(&zinccovev1.Heartbeat{Question: &zinccovev1.Question{Number: 1 << 40, Targets: []*zinccovev1.TargetQuestion{encodeQuestion(q)}}}) +
			size(&zinccovev1.Heartbeat{Answer: &zinccovev1.Answer{Number: 1 << 40, Targets: []*zinccovev1.TargetAnswer{encodeAnswer(a)}}})
	}
	b.ReportMetric(holding, "B/holding")
	b.ReportMetric(query, "B/query")
}
