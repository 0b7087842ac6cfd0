package proof

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/engine"
	"zinccove.example/standin/fleet"
)

func TestStreamIsWholeAndTheCallersOwn(t *testing.T) {
	s := newSite(t, 2)
	const tokens = 50
	var g errgroup.Group
	for i := range 24 {
		g.Go(func() error {
			prompt := fmt.Sprintf("prompt %d", i)
			r := newCaller("a").post(s.Routers[i%2].Caller, "/v1/completions", completion(prompt, tokens, true))
			got := parseStream(r.body)
			if !got.whole || got.text != engine.Answer(prompt, tokens) {
				return fmt.Errorf("request %d: status %d, whole %t, error %v: %q", i, r.status, got.whole, r.err, got.text)
			}
			return nil
		})
	}
	assert.NilError(t, g.Wait())
}

func TestBadInputIsRefusedAndChangesNothing(t *testing.T) {
	s := newSite(t, 1)
	r := s.Routers[0]
	huge := `{"model":"dialect","prompt":"` + strings.Repeat("x", 1<<20) + `"}`
	tests := []struct {
		name, key, path, body string
		headers               []string
		status                int
		code, field           string
	}{
		{"wrong key", "nobody", "/v1/completions", completion("p", 5, false), nil, http.StatusUnauthorized, "wrong_key", ""},
		{"unknown model", "a", "/v1/completions", `{"model":"gpt","prompt":"p"}`, nil, http.StatusNotFound, "unknown_model", "model"},
		{"not JSON", "a", "/v1/completions", `{"model":`, nil, http.StatusBadRequest, "bad_request", "body"},
		{"no prompt", "a", "/v1/completions", `{"model":"dialect"}`, nil, http.StatusBadRequest, "bad_request", "prompt"},
		{"negative tokens", "a", "/v1/completions", completion("p", -1, false), nil, http.StatusBadRequest, "bad_request", "max_tokens"},
		{"wrong timeout", "a", "/v1/completions", completion("p", 5, false), []string{"X-Timeout-Ms", "soon"}, http.StatusBadRequest, "bad_request", "X-Timeout-Ms"},
		{"body too large", "a", "/v1/completions", huge, nil, http.StatusRequestEntityTooLarge, "too_large", "body"},
		{"header too large", "a", "/v1/completions", "{}", []string{"X-Long", strings.Repeat("x", 20_000)}, http.StatusRequestEntityTooLarge, "too_large", "header"},
		{"unknown service", "a", "/services/gone/x", "", nil, http.StatusNotFound, "unknown_service", "path"},
		{"unknown path", "a", "/v2/anything", "", nil, http.StatusNotFound, "unknown_path", ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := newCaller(tc.key).post(r.Caller, tc.path, tc.body, tc.headers...)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, tc.status, got.body)
			assert.Equal(t, got.refusal().Code, tc.code)
			assert.Equal(t, got.refusal().Field, tc.field)
			assert.Equal(t, got.refusal().Outcome, "not_run")
		})
	}
	var runs []engine.Run
	assert.NilError(t, fleet.GetJSON(s.Engines[0].Address, "/runs", &runs))
	assert.Equal(t, len(runs), 0)
	effects := map[string]int{}
	assert.NilError(t, fleet.GetJSON(s.Services[0].Address, "/effects", &effects))
	assert.Equal(t, len(effects), 0)
}

func TestOperatorMistakesHaveExitCodes(t *testing.T) {
	s := newSite(t, 1)
	before, err := s.Operate(s.Routers[0], "audit")
	assert.NilError(t, err)
	tests := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"wrong key", []string{"--key", "wrong", "status"}, 1, "unknown name or wrong key"},
		{"weight", []string{"customer", "put", "d", "--weight", "0"}, 2, "weight must be 1 to 1000"},
		{"reference", []string{"target", "put", "x", "--serves", "none", "--address", "127.0.0.1:1", "--data-centre", "d", "--slots", "1"}, 2, "serves names no model or service"},
		{"address", []string{"target", "put", "x", "--serves", model, "--address", "here", "--data-centre", "d", "--slots", "1"}, 2, "is not an IP address and a port"},
		{"no such object", []string{"customer", "remove", "nobody"}, 2, "name does not exist"},
		{"no such plan", []string{"plan", "confirm", "none"}, 2, "no such plan"},
		{"unknown flag", []string{"status", "--colour"}, 2, "unknown flag"},
		{"unreachable", []string{"--router", "127.0.0.1:1", "status"}, 4, "connection refused"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := s.Operate(s.Routers[0], tc.args...)
			var exit *exec.ExitError
			assert.Assert(t, errors.As(err, &exit), "%v", err)
			assert.Equal(t, exit.ExitCode(), tc.code, err.Error())
			assert.ErrorContains(t, err, tc.text)
		})
	}
	after, err := s.Operate(s.Routers[0], "audit")
	assert.NilError(t, err)
	assert.Equal(t, after, before)
}

func TestWrongSettingsEndTheStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r.ini")
	assert.NilError(t, os.WriteFile(file, []byte("[host]\nname = r\ncolour = red\n"), 0o600))
	for _, args := range [][]string{{"--check", "--settings", file}, {"--settings", file}} {
		out, err := exec.Command(filepath.Join(bin, "zinccoved"), args...).CombinedOutput()
		var exit *exec.ExitError
		assert.Assert(t, errors.As(err, &exit))
		assert.Equal(t, exit.ExitCode(), 2)
		assert.Assert(t, strings.Contains(string(out), "[host] colour: unknown key"), string(out))
		assert.Assert(t, strings.Contains(string(out), "[host] data-centre: is required"), string(out))
	}
}

// TestKilledProcessLeavesTheOthersServing kills one process of each kind.
func TestKilledProcessLeavesTheOthersServing(t *testing.T) {
	s := newSite(t, 3)
	s.Routers[2].Kill()
	s.Engines[2].Kill()
	s.Services[2].Kill()
	c := newCaller("a")
	for i := range 20 {
		to := s.Routers[i%2].Caller
		prompt := fmt.Sprintf("prompt %d", i)
		r := c.post(to, "/v1/completions", completion(prompt, 5, true))
		assert.Equal(t, parseStream(r.body).text, engine.Answer(prompt, 5), "status %d %s", r.status, r.body)
		got := c.post(to, "/services/archive/entries", "x")
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	s.Platform.Kill()
	r := c.post(s.Routers[0].Caller, "/v1/completions", completion("p", 5, false))
	assert.Equal(t, r.status, http.StatusOK, r.body)
}

// TestPlannedStopCutsNoRequest asks a router to stop while requests run and
// wait.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	s := newSite(t, 1, "--token-time", "10ms")
	const tokens = 60
	var g errgroup.Group
	for i := range 3 * slots {
		g.Go(func() error {
			prompt := fmt.Sprintf("prompt %d", i)
			r := newCaller("a").post(s.Routers[0].Caller, "/v1/completions", completion(prompt, tokens, true))
			if got := parseStream(r.body); !got.whole || got.text != engine.Answer(prompt, tokens) {
				return fmt.Errorf("request %d: status %d, error %v: %q", i, r.status, r.err, r.body)
			}
			return nil
		})
	}
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, s.Routers[0].Signal(syscall.SIGTERM))
	assert.NilError(t, g.Wait())
	code, err := s.Routers[0].AwaitEnd()
	assert.NilError(t, err)
	assert.Equal(t, code, 0, s.Routers[0].Output())
}
