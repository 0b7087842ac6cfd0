package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/settings"
)

// TestEndlessConfigurationIsGivenUp has a router send more than any message and then hold the call.
func TestEndlessConfigurationIsGivenUp(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		w.Write(make([]byte, 2*maxTableMessage)) //nolint:errcheck // the caller may close the connection
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer s.Close()
	g := &Gateway{settings: &settings.Settings{}, peerClient: &http.Client{Timeout: peerTimeout}}
	_, err := g.fetchConfig(context.Background(), netip.MustParseAddrPort(s.Listener.Addr().String()))
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted, "%v", err)
}
