package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReferenceIsAccepted(t *testing.T) {
	s, err := Parse("reference", []byte(Reference()))
	assert.NilError(t, err)
	assert.Equal(t, s.Host, "entry-1")
	assert.Equal(t, s.HeartbeatInterval, 250*time.Millisecond)
	assert.DeepEqual(t, s.Operators[0].Roles, []Role{RoleRead, RolePlan, RoleConfirm})
}

// TestExampleFileIsCurrent fails if the table changed and docs/zinccoved.example.ini was
// not regenerated.
func TestExampleFileIsCurrent(t *testing.T) {
	body, err := os.ReadFile("../docs/zinccoved.example.ini")
	assert.NilError(t, err)
	assert.Equal(t, string(body), Reference())
}

func TestWrongKeysAreNamed(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     string
	}{
		{"unknown key", "[host]", "[host]\ncolour = red", "f.ini: [host] colour: unknown key"},
		{"unknown section", "[host]", "[hots]\n[host]", "f.ini: [hots]: unknown section"},
		{"key outside sections", "[host]", "a = 1\n[host]", "f.ini: [DEFAULT] a: must stand in a section"},
		{"missing", "name = entry-1", "", "f.ini: [host] name: is required: 1 to 64 bytes without spaces or slashes"},
		{"range", "connections = 20000", "connections = 1", `f.ini: [limits] connections: "1" is not allowed: 10 to 1048576`},
		{"duration", "timeout = 2s", "timeout = 2", `f.ini: [platform] timeout: "2" is not allowed: 50ms to 1m0s`},
		{"address", "127.0.0.1:9000", "localhost:9000", `f.ini: [platform] address: "localhost:9000" is not allowed: IP address and port, such as 127.0.0.1:8080`},
		{"short secret", "change-me-to-a-long-secret", "short", "f.ini: [fleet] key: the value is not allowed: at least 16 bytes"},
		{"role", "roles = read, plan", "roles = root, plan", "f.ini: [operator.anna] roles: must be some of read, plan and confirm, separated by commas"},
		{"digest", "key-sha256 = 50", "key-sha256 = zz", "f.ini: [operator.anna] key-sha256: must be 64 hexadecimal digits, the SHA-256 digest of the operator's key"},
		{"operator key", "[operator.anna]", "[operator.anna]\nkey = x", "f.ini: [operator.anna] key: unknown key"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			body := strings.Replace(Reference(), tc.old, tc.new, 1)
			_, err := Parse("f.ini", []byte(body))
			var wrong Errors
			assert.Assert(t, errors.As(err, &wrong), "%v", err)
			assert.Equal(t, wrong.Error(), tc.want)
		})
	}
}

func TestAllWrongKeysAreReportedAtOnce(t *testing.T) {
	_, err := Parse("f.ini", nil)
	var wrong Errors
	assert.Assert(t, errors.As(err, &wrong))
	assert.Equal(t, len(wrong), 7)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Reference()))
	f.Add([]byte("[host]\nname=x"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Parse("fuzz", body)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v and error %v", s, err)
		}
	})
}
