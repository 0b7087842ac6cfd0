package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gap matches a placeholder in a template that a platform replaces by a value.
var gap = regexp.MustCompile(`\{\{[^}]*\}\}`)

// given matches a text that stands only if a platform provides a value.
var given = regexp.MustCompile(`\{\{#([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)

// fill replaces the placeholders of the deployment template by values, as a
// platform does. The lists of seeds and of zones are each replaced by one value.
func fill(t *testing.T, values map[string]string) string {
	t.Helper()
	body, err := os.ReadFile("../deploy/zinccoved.ini")
	assert.NilError(t, err)
	text := strings.Replace(string(body), "{{#seeds}}{{.}}{{,}}{{/seeds}}", values["seeds"], 1)
	text = strings.Replace(text, "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", values["zones"], 1)
	text = given.ReplaceAllStringFunc(text, func(g string) string {
		m := given.FindStringSubmatch(g)
		if m[1] != m[3] || values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return gap.ReplaceAllStringFunc(text, func(g string) string { return values[strings.Trim(g, "{}")] })
}

// stated returns the values that a platform provides; every quantity has a fraction,
// because platforms may provide one.
func stated() map[string]string {
	return map[string]string{
		"nodeName": "front-1", "zone": "hall-a", "zones": "hall-a:innsbruck,hall-b:innsbruck", "ip": "10.1.0.33", "portRange.0": "7400",
		"listen.front": "10.1.0.33:8783", "listen.ready": "10.1.0.33:8780", "listen.control": "10.1.0.33:8785",
		"seeds": "10.1.0.33:8785,10.2.0.18:8785", "bootstrap": "true", "platform.address": "10.200.1.7:8781",
		"limits.memoryMb": "184.5", "heartbeatMs": "1200.25", "bounds.graceS": "8.5", "bounds.drainMs": "4000.75",
		"bounds.retryRatio": "0.2", "bounds.retrySlack": "33.1578947368421", "bounds.retryWindowS": "9.5",
		"limits.cpuShare": "0.192", "bounds.pass_ms": "200.5",
	}
}

func TestTemplateTakesFractions(t *testing.T) {
	s, err := Parse("filled", []byte(fill(t, stated())))
	assert.NilError(t, err)
	assert.Equal(t, s.RetrySlack, 33.1578947368421)
	assert.Equal(t, s.MemoryMB, 184.5)
	assert.Equal(t, s.StopTimeout, 8500*time.Millisecond)
	assert.Equal(t, s.TargetDrain, 4000750*time.Microsecond)
	assert.Equal(t, s.TargetHeartbeat, 1200250*time.Microsecond)
	assert.Equal(t, s.RetryWindow, 9500*time.Millisecond)
	assert.Equal(t, s.PassWithin, 200500*time.Microsecond)
	assert.Equal(t, s.Processor, 0.192)
	assert.DeepEqual(t, s.Regions, map[string]string{"hall-a": "innsbruck", "hall-b": "innsbruck"})
}

// TestTemplateTakesMissingValues guards against a template that is rejected when a platform
// provides no value for a key that has a default.
func TestTemplateTakesMissingValues(t *testing.T) {
	values := stated()
	for _, name := range []string{"limits.memoryMb", "bounds.retryRatio", "bounds.retrySlack", "limits.cpuShare", "bounds.pass_ms"} {
		values[name] = ""
	}
	s, err := Parse("filled", []byte(fill(t, values)))
	assert.NilError(t, err)
	assert.Equal(t, s.RetrySlack, 50.0)
	assert.Equal(t, s.RetryRatio, 0.2)
	assert.Equal(t, s.MemoryMB, 0.0)
	assert.Equal(t, s.PassWithin, time.Duration(0))
	assert.Equal(t, s.Processor, 0.0)
}
