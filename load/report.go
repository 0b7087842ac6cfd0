package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the measurements of an experiment. Times are in milliseconds.
type Report struct {
	// GapTokens is the largest difference in service per unit of weight between
	// two customers while both were backlogged; GapRequests is the same as a multiple of
	// the largest request.
	GapTokens   float64 `json:"gap_tokens"`
	GapRequests float64 `json:"gap_requests"`
	GapBetween  string  `json:"gap_between"`
	// LargestRequest is the largest cost of an answered request in tokens.
	LargestRequest int `json:"largest_request_tokens"`
	// BusyShare is the fraction of the slots in use while a customer was backlogged; 0 if none
	// was.
	BusyShare float64 `json:"busy_share"`
	// MaxWaiting is the largest number of requests that one engine reported as waiting inside it
	// while a customer was backlogged.
	MaxWaiting   int              `json:"most_waiting_inside"`
	TokensPerSec float64          `json:"tokens_per_second"`
	Control      ControlReport    `json:"control"`
	Customers    []CustomerReport `json:"customers"`
	// Series is the service over time, for plots.
	Series []SeriesPoint `json:"series"`
}

// SeriesPoint is the service per unit of weight of all customers at one time.
type SeriesPoint struct {
	AtMS    float64   `json:"at_ms"`
	Service []float64 `json:"service_per_weight"`
	// Backlogged reports for each customer whether it was backlogged.
	Backlogged []bool `json:"backlogged"`
}

// ControlReport is the control traffic, in bytes per second, and the CPU share that control used;
// each is the maximum over the routers.
type ControlReport struct {
	SentBytes     float64 `json:"sent_bytes"`
	ReceivedBytes float64 `json:"received_bytes"`
	CPUShare      float64 `json:"cpu_share"`
}

// CustomerReport holds the measurements of one customer.
type CustomerReport struct {
	Name         string  `json:"name"`
	Weight       float64 `json:"weight"`
	Service      float64 `json:"service_per_weight"`
	Answered     int     `json:"answered"`
	Refused      int     `json:"refused"`
	Broken       int     `json:"broken"`
	FirstP50     float64 `json:"first_token_p50_ms"`
	FirstP95     float64 `json:"first_token_p95_ms"`
	FirstMax     float64 `json:"first_token_max_ms"`
	BetweenP95   float64 `json:"between_tokens_p95_ms"`
	LongestPause float64 `json:"longest_pause_ms"`
}

// seriesStep is the number of recorded points per reported point.
const seriesStep = 5

func (r *recorder) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := new(Report)
	tokens := 0.0
	for i := range r.customers {
		rep.Customers = append(rep.Customers, r.customerReport(i))
		rep.LargestRequest = max(rep.LargestRequest, r.customers[i].largestCost)
		tokens += r.customers[i].service * r.experiment.Customers[i].Weight
	}
	rep.TokensPerSec = tokens / r.experiment.Duration.Seconds()
	g := largestGap(r.series, len(r.customers))
	rep.GapTokens = g.tokens
	if rep.LargestRequest > 0 {
		rep.GapRequests = g.tokens / float64(rep.LargestRequest)
	}
	rep.GapBetween = r.experiment.Customers[g.a].Name + " and " + r.experiment.Customers[g.b].Name
	if r.busy.offered > 0 {
		rep.BusyShare = r.busy.busy / r.busy.offered
	}
	rep.MaxWaiting = r.busy.maxWaiting
	for i := 0; i < len(r.series); i += seriesStep {
		p := &r.series[i]
		rep.Series = append(rep.Series, SeriesPoint{AtMS: milliseconds(p.at), Service: p.service, Backlogged: p.backlogged})
	}
	for _, c := range r.control {
		rep.Control.SentBytes = max(rep.Control.SentBytes, c.sent)
		rep.Control.ReceivedBytes = max(rep.Control.ReceivedBytes, c.received)
		rep.Control.CPUShare = max(rep.Control.CPUShare, c.cpu)
	}
	return rep
}

func (r *recorder) customerReport(i int) CustomerReport {
	cu := &r.customers[i]
	spec := &r.experiment.Customers[i]
	return CustomerReport{
		Name:         spec.Name,
		Weight:       spec.Weight,
		Service:      cu.service,
		Answered:     cu.results[resultAnswered],
		Refused:      cu.results[resultRefused],
		Broken:       cu.results[resultBroken],
		FirstP50:     quantile(cu.wait, 50),
		FirstP95:     quantile(cu.wait, 95),
		FirstMax:     quantile(cu.wait, 100),
		BetweenP95:   quantile(cu.between, 95),
		LongestPause: milliseconds(cu.longestPause),
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return milliseconds(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteJSON writes the report as one JSON value.
func (rep *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(rep) }

// WriteText writes the report as tables.
func (rep *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "gap            %.0f tokens per weight (%.2f of the largest request, %d tokens) between %s\n",
		rep.GapTokens, rep.GapRequests, rep.LargestRequest, rep.GapBetween)
	fmt.Fprintf(w, "busy share     %.3f of the slots while work waited; at most %d waiting inside an engine\n", rep.BusyShare, rep.MaxWaiting)
	fmt.Fprintf(w, "throughput     %.0f tokens/s\n", rep.TokensPerSec)
	fmt.Fprintf(w, "control        %.0f B/s out, %.0f B/s in, %.2f%% of a core (the most of a router)\n",
		rep.Control.SentBytes, rep.Control.ReceivedBytes, 100*rep.Control.CPUShare)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "customer\tweight\tservice\tanswered\trefused\tbroken\tfirst p50\tp95\tmax\tbetween p95\tpause\t")
	for _, c := range rep.Customers {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%d\t%d\t%d\t%.0f ms\t%.0f ms\t%.0f ms\t%.1f ms\t%.0f ms\t\n", c.Name, c.Weight, c.Service,
			c.Answered, c.Refused, c.Broken, c.FirstP50, c.FirstP95, c.FirstMax, c.BetweenP95, c.LongestPause)
	}
	return t.Flush()
}
