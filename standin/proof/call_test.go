package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"zinccove.example/standin/fleet"
)

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// refusal is the error in a reply.
type refusal struct {
	Code      string `json:"code"`
	Field     string `json:"field"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

func (r reply) refusal() refusal {
	var v struct{ Error refusal }
	if json.Unmarshal([]byte(r.body), &v) != nil {
		return refusal{}
	}
	return v.Error
}

// caller sends requests of one customer without keeping connections.
type caller struct {
	http http.Client
	key  string
}

func newCaller(customer string) *caller {
	return &caller{http: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, key: fleet.CustomerKey(customer)}
}

func (c *caller) post(to netip.AddrPort, path, body string, headers ...string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+to.String()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

func completion(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, prompt, tokens, stream)
}

// streamed is the text and the end of a streamed answer.
type streamed struct {
	text  string
	whole bool
	err   refusal
}

// parseStream reads the events of a streamed answer.
func parseStream(body string) streamed {
	var s streamed
	sc := bufio.NewScanner(strings.NewReader(body))
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.whole = true
			continue
		}
		var ev struct {
			Choices []struct{ Text string }
			Error   refusal
		}
		if json.Unmarshal([]byte(data), &ev) != nil {
			continue
		}
		if ev.Error.Code != "" {
			s.err = ev.Error
		}
		for _, ch := range ev.Choices {
			s.text += ch.Text
		}
	}
	return s
}
