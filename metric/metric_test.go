package metric

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestServedInPrometheusFormat(t *testing.T) {
	m, err := New()
	assert.NilError(t, err)
	m.Inc(RequestsAnswered)
	m.Add(TokensDelivered, 5)
	m.Set(ConfigVersion, 7)
	m.Observe(QueueWait, 3*time.Millisecond)
	assert.NilError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page := w.Body.String()
	for _, want := range []string{
		"zinccove_requests_answered 1", "zinccove_tokens_delivered 5", "zinccove_config_version 7",
		"zinccove_queue_wait_count 1", "zinccove_requests_unknown 0",
	} {
		assert.Assert(t, strings.Contains(page, want), "%s not in\n%s", want, page)
	}
}

func TestReadFindsCountersAndGauges(t *testing.T) {
	m, err := New()
	assert.NilError(t, err)
	m.Add(ControlBytesSent, 12)
	m.Set(HostsReachable, 8)
	assert.NilError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	values, err := Read(w.Body)
	assert.NilError(t, err)
	assert.Equal(t, values[ControlBytesSent.Name()], 12.0)
	assert.Equal(t, values[HostsReachable.Name()], 8.0)
	_, err = Read(strings.NewReader("not { metrics"))
	assert.Assert(t, err != nil)
}

// TestReferenceIsCurrent fails if the tables changed and docs/metrics.md was not regenerated.
func TestReferenceIsCurrent(t *testing.T) {
	body, err := os.ReadFile("../docs/metrics.md")
	assert.NilError(t, err)
	assert.Equal(t, string(body), Reference())
}
