package worker

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers that name the copy of a run's state.
const (
	headerBackup = "Kv-Backup"
	headerFrom   = "Kv-From"
)

// copiesPath is where a worker takes the states of the runs of others.
const copiesPath = "/copies/"

// copyTimeout is the longest time of a call to the worker that holds a copy.
const copyTimeout = time.Second

var copyClient = &http.Client{Timeout: copyTimeout}

// serveCopies takes and frees the states of other workers' runs.
func (w *Worker) serveCopies(ctx *fasthttp.RequestCtx) {
	id := strings.TrimPrefix(string(ctx.Path()), copiesPath)
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.IsPut() {
		w.copies[id] = true
		return
	}
	delete(w.copies, id)
}

// sendCopy has the worker that a request names hold the state of its run, or free it.
func sendCopy(method, to, id string) {
	req, err := http.NewRequest(method, fmt.Sprint("http://", to, copiesPath, id), nil)
	if err != nil {
		return
	}
	resp, err := copyClient.Do(req)
	if err != nil {
		return // the run has no copy
	}
	resp.Body.Close() //nolint:errcheck // without content
}

// takeCopy uses the copy that a request names; each serves once.
func (w *Worker) takeCopy(from, id string) bool {
	_, named, _ := strings.Cut(from, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	ok := named == id && w.copies[id]
	delete(w.copies, id)
	return ok
}

// goOn answers with the events that follow those of a run whose state this worker holds.
func (w *Worker) goOn(ctx *fasthttp.RequestCtx, id string) {
	if !w.takeCopy(string(ctx.Request.Header.Peek(headerFrom)), id) || !w.continueRun(id) {
		ctx.Response.Header.Set(headerNotRun, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.Response.Header.Set(headerSeal, Seal(id, w.options.ID))
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStream(w.streamFrom(ctx, id), -1)
}

// continueRun counts a run that goes on here.
func (w *Worker) continueRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.options.Slots {
		return false
	}
	w.running++
	if w.runs[id] == nil {
		w.runs[id] = new(Run)
	}
	w.runs[id].Continued++
	return true
}
