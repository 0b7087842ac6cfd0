package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// body is the JSON of a request. OutputTokens gives stand-ins the actual length
// of the response; real engines ignore it.
type body struct {
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	OutputTokens int    `json:"output_tokens"`
	Stream       bool   `json:"stream"`
}

// maxTokens is the max_tokens of every request. It is the same for all because callers do not know
// the cost of their requests.
const maxTokens = 4096

// defaultRetryDelay is the pause after a failed request or a response without a valid Retry-After.
const defaultRetryDelay = 200 * time.Millisecond

// send sends one request and records its progress. It returns the pause before the next request:
// 0 after a response with status 200, else the Retry-After of the response or defaultRetryDelay.
func (r *runner) send(ctx context.Context, spec requestSpec) time.Duration {
	c := &r.experiment.Customers[spec.customer]
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	req, err := r.newRequest(ctx, c, spec)
	if err != nil {
		return defaultRetryDelay
	}
	progress := r.recorder.begin(spec, r.clock.Now())
	resp, err := r.http.Do(req)
	if err != nil {
		r.recorder.end(progress, resultOf(ctx, resultBroken), r.clock.Now())
		return defaultRetryDelay
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.recorder.end(progress, resultRefused, r.clock.Now())
		return retryAfter(resp)
	}
	r.recorder.end(progress, resultOf(ctx, r.read(resp, progress)), r.clock.Now())
	return 0
}

// resultOf returns resultCancelled in place of resultBroken if the end of the experiment or the
// timeout of the request interrupted it.
func resultOf(ctx context.Context, result result) result {
	if result == resultBroken && ctx.Err() != nil {
		return resultCancelled
	}
	return result
}

func (r *runner) newRequest(ctx context.Context, c *Customer, spec requestSpec) (*http.Request, error) {
	prompt := fmt.Sprintf("%s %d%s", c.Name, spec.number, strings.Repeat(" word", max(spec.input-2, 0)))
	b, err := json.Marshal(body{Model: c.Model, Prompt: prompt, MaxTokens: maxTokens, OutputTokens: spec.output, Stream: true})
	if err != nil {
		return nil, err
	}
	url := "http://" + r.experiment.Callers[spec.router].String() + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if c.Urgent {
		req.Header.Set("X-Request-Class", "urgent")
	}
	return req, nil
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		return defaultRetryDelay
	}
	return time.Duration(seconds) * time.Second
}

// read records the tokens of a streamed response until its end and returns the result.
func (r *runner) read(resp *http.Response, c *requestProgress) result {
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			return resultAnswered
		case bytes.HasPrefix(line, []byte("data: {\"error\"")):
			return resultBroken
		case bytes.HasPrefix(line, []byte("data: ")) && !bytes.Contains(line, []byte(`"usage"`)):
			r.recorder.token(c, r.clock.Now())
		}
	}
	return resultBroken
}
