// Package demo shows the whole path on one machine: stand-ins, three routers
// in three data centres, customers created by plan and confirmation, requests,
// and the loss of one router.
//
// # Usage
//
//	zinccove-demo --bin ./bin
package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/engine"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/tool"
)

type options struct {
	Bin string `long:"bin" default:"bin" description:"directory of the built programs"`
}

// Main runs the demonstration and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var o options
	return tool.Main("zinccove-demo", &o, args, out, errOut, func(out io.Writer) error { return run(o.Bin, out) })
}

// dataCentres each have a router and an engine.
var dataCentres = []string{"innsbruck-1", "innsbruck-2", "innsbruck-3"}

// customers and their weights.
var customers = []struct {
	name   string
	weight int
}{{"school", 1}, {"university", 2}, {"riders", 4}}

const (
	modelName    = "dialect"
	modelVersion = "v1"
	serviceName  = "archive"
	slots        = 4
)

func run(bin string, out io.Writer) error {
	f, err := fleet.New(bin)
	if err != nil {
		return err
	}
	defer f.Close()
	steps := []struct {
		text string
		do   func(*fleet.Fleet, io.Writer) error
	}{
		{"start the platform stand-in and three routers", startRouters},
		{"declare customers, a model, a service and targets: plan, then confirm at another router", declare},
		{"send requests of every customer through every router", func(f *fleet.Fleet, out io.Writer) error { return send(f, out) }},
		{"kill one router; the others go on", killOne},
		{"what the operators see", show},
	}
	for i, s := range steps {
		fmt.Fprintf(out, "\n%d. %s\n", i+1, s.text)
		if err := s.do(f, out); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "\ndone; stopping everything that was started")
	return nil
}

func startRouters(f *fleet.Fleet, out io.Writer) error {
	if err := f.StartPlatform("--host-lag", "200ms"); err != nil {
		return err
	}
	for i, dc := range dataCentres {
		r, err := f.StartRouter(fmt.Sprintf("entry-%d", i+1), dc)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "   %s in %s serves callers at http://%s\n", r.Name, dc, r.Caller)
	}
	return f.AwaitMembers(10 * time.Second)
}

func declare(f *fleet.Fleet, out io.Writer) error {
	var o fleet.Objects
	for _, c := range customers {
		o.Customer(c.name, c.weight)
	}
	o.Model(modelName, modelVersion)
	o.Service(serviceName, "POST:/entries")
	for i, dc := range dataCentres {
		t, err := f.StartEngine(fmt.Sprintf("engine-%d", i+1), dc, "--slots", fmt.Sprint(slots), "--token-time", "5ms")
		if err != nil {
			return err
		}
		o.Engine(t, modelName, modelVersion, slots)
	}
	t, err := f.StartService("archive-1", dataCentres[0])
	if err != nil {
		return err
	}
	o.Instance(t, serviceName, 4)
	text, err := f.Apply(f.Routers[0], f.Routers[1], o.String())
	fmt.Fprint(out, indent(text))
	if err != nil {
		return err
	}
	return f.AwaitReady(10 * time.Second)
}

func indent(text string) string {
	return "   " + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n   ") + "\n"
}

// answer is what one request brought back.
type answer struct {
	customer, router, model, service string
}

// send makes one model request and one service call for every customer at
// every running router, all at once, and prints what came back.
func send(f *fleet.Fleet, out io.Writer) error {
	var g errgroup.Group
	var answers []*answer
	for _, r := range f.Routers {
		if r.Ended() {
			continue
		}
		for _, c := range customers {
			a := &answer{customer: c.name, router: r.Name}
			answers = append(answers, a)
			g.Go(func() error { return a.fetch(r) })
		}
	}
	err := g.Wait()
	for _, a := range answers {
		fmt.Fprintf(out, "   %-10s via %s: model %s, service %s\n", a.customer, a.router, a.model, a.service)
	}
	return err
}

const outputTokens = 24

func (a *answer) fetch(r *fleet.Router) error {
	prompt := fmt.Sprintf("gloss the word Erdäpfel for %s at %s", a.customer, a.router)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, modelName, prompt, outputTokens)
	text, err := a.post(r, "/v1/completions", body)
	if err != nil {
		return err
	}
	var c struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return err
	}
	if c.Choices[0].Text != engine.Answer(prompt, outputTokens) {
		return fmt.Errorf("%s got a wrong answer: %s", a.customer, text)
	}
	a.model = fmt.Sprintf("%d tokens %q...", outputTokens, c.Choices[0].Text[:14])
	text, err = a.post(r, "/services/"+serviceName+"/entries", "a catalogue entry")
	a.service = fmt.Sprintf("%q", strings.TrimSpace(text))
	return err
}

func (a *answer) post(r *fleet.Router, path, body string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Caller.String()+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.CustomerKey(a.customer))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s via %s: status %d: %s", a.customer, r.Name, resp.StatusCode, text)
	}
	return string(text), err
}

func killOne(f *fleet.Fleet, out io.Writer) error {
	r := f.Routers[2]
	r.Kill()
	fmt.Fprintf(out, "   killed %s\n", r.Name)
	return send(f, out)
}

func show(f *fleet.Fleet, out io.Writer) error {
	for _, command := range []string{"status", "audit"} {
		text, err := f.Operate(f.Routers[0], command)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "   $ zinccove %s\n%s", command, indent(text))
	}
	return nil
}
