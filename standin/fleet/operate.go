package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Operate runs zinccove against a router and returns its output.
func (f *Fleet) Operate(r *Router, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.bin, "zinccove"), args...)
	cmd.Env = append(os.Environ(), "ZINCCOVE_ROUTER="+r.Control.String(), "ZINCCOVE_OPERATOR="+Operator, "ZINCCOVE_KEY="+OperatorKey)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("zinccove %s: %w: %s", strings.Join(args, " "), err, errOut.String())
	}
	return out.String(), nil
}

// Apply plans the objects of an INI text at one router, confirms the plan at
// another and waits until it is in force on all reachable ones. It returns the
// text of the plan.
func (f *Fleet) Apply(planAt, confirmAt *Router, objects string) (string, error) {
	file := filepath.Join(f.dir, "objects.ini")
	if err := os.WriteFile(file, []byte(objects), 0o600); err != nil {
		return "", err
	}
	out, err := f.Operate(planAt, "--output", "json", "apply", "-f", file)
	if err != nil {
		return "", err
	}
	var plan struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(out), &plan); err != nil {
		return "", err
	}
	shown, err := f.Operate(confirmAt, "plan", "show", plan.ID)
	if err != nil {
		return "", err
	}
	confirmed, err := f.Operate(confirmAt, "plan", "confirm", plan.ID, "--wait", "10s")
	return shown + confirmed, err
}
