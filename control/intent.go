package control

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/config"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
	"zinccove.example/zinccove/intent"
	"zinccove.example/zinccove/platform"
)

var (
	errNoConfig = eris.New("no configuration is in force here")
	errNoTables = eris.New("no tables of the store are followed here")
)

// intentHandler serves the IntentService to operators.
type intentHandler struct{ server *Server }

// maxAudit is the largest number of entries in one response.
const maxAudit = 1000

// codeOf maps an error of package intent or platform to a connect code.
func codeOf(err error) connect.Code {
	var (
		invalid  *config.InvalidError
		conflict *intent.ConflictError
	)
	switch {
	case errors.As(err, &invalid):
		return connect.CodeInvalidArgument
	case errors.As(err, &conflict), eris.Is(err, intent.ErrContended):
		return connect.CodeAborted
	case eris.Is(err, intent.ErrNoPlan), eris.Is(err, platform.ErrNotFound):
		return connect.CodeNotFound
	case eris.Is(err, intent.ErrNotProposed):
		return connect.CodeFailedPrecondition
	case eris.Is(err, platform.ErrUnavailable):
		return connect.CodeUnavailable
	default:
		return connect.CodeUnknown
	}
}

func connectError(err error) error { return connect.NewError(codeOf(err), err) }

// Plan implements the IntentService.
func (h *intentHandler) Plan(ctx context.Context, req *zinccovev1.PlanRequest) (*zinccovev1.PlanResponse, error) {
	p, err := h.plan(ctx, req)
	if err != nil {
		return nil, connectError(err)
	}
	return &zinccovev1.PlanResponse{Plan: encodePlan(p)}, nil
}

func (h *intentHandler) plan(ctx context.Context, req *zinccovev1.PlanRequest) (intent.Plan, error) {
	store := h.server.options.Store
	if req.RollbackTo > 0 {
		if len(req.ChangesJson) > 0 {
			return intent.Plan{}, &config.InvalidError{Field: "changes", Reason: "must be empty in a rollback"}
		}
		return store.Rollback(ctx, operatorOf(ctx), req.RollbackTo)
	}
	changes := make([]config.Change, len(req.ChangesJson))
	for i, body := range req.ChangesJson {
		ch, err := config.DecodeChange(body)
		if err != nil {
			return intent.Plan{}, err
		}
		changes[i] = ch
	}
	return store.Plan(ctx, operatorOf(ctx), changes)
}

// Diff implements the IntentService.
func (h *intentHandler) Diff(ctx context.Context, req *zinccovev1.DiffRequest) (*zinccovev1.DiffResponse, error) {
	from, err := h.server.options.Store.Version(ctx, req.From)
	if err != nil {
		return nil, connectError(err)
	}
	to, err := h.server.options.Store.Version(ctx, req.To)
	if err != nil {
		return nil, connectError(err)
	}
	resp := new(zinccovev1.DiffResponse)
	for _, d := range config.Diff(from, to) {
		resp.Differences = append(resp.Differences, d.Text)
	}
	return resp, nil
}

func encodePlan(p intent.Plan) *zinccovev1.Plan {
	return &zinccovev1.Plan{
		Id:            p.ID,
		BaseVersion:   p.BaseVersion,
		Differences:   p.Differences,
		Consequences:  p.Consequences,
		State:         string(p.State),
		Operator:      p.Operator,
		ExpiresUnixMs: p.Expires.UnixMilli(),
		Version:       p.Version,
	}
}

// Confirm implements the IntentService.
func (h *intentHandler) Confirm(ctx context.Context, req *zinccovev1.ConfirmRequest) (*zinccovev1.ConfirmResponse, error) {
	version, err := h.server.options.Store.Confirm(ctx, operatorOf(ctx), req.PlanId)
	if err != nil {
		return nil, connectError(err)
	}
	h.server.options.Confirmed()
	return &zinccovev1.ConfirmResponse{Version: version}, nil
}

// Discard implements the IntentService.
func (h *intentHandler) Discard(ctx context.Context, req *zinccovev1.DiscardRequest) (*zinccovev1.DiscardResponse, error) {
	if err := h.server.options.Store.Discard(ctx, req.PlanId); err != nil {
		return nil, connectError(err)
	}
	return new(zinccovev1.DiscardResponse), nil
}

// ShowPlan implements the IntentService.
func (h *intentHandler) ShowPlan(ctx context.Context, req *zinccovev1.ShowPlanRequest) (*zinccovev1.ShowPlanResponse, error) {
	p, err := h.server.options.Store.ReadPlan(ctx, req.PlanId)
	if err != nil {
		return nil, connectError(err)
	}
	return &zinccovev1.ShowPlanResponse{Plan: encodePlan(p)}, nil
}

// Status implements the IntentService.
func (h *intentHandler) Status(context.Context, *zinccovev1.StatusRequest) (*zinccovev1.StatusResponse, error) {
	return &zinccovev1.StatusResponse{Routers: h.server.options.Status()}, nil
}

// Audit implements the IntentService.
func (h *intentHandler) Audit(ctx context.Context, req *zinccovev1.AuditRequest) (*zinccovev1.AuditResponse, error) {
	audits, err := h.server.options.Store.Audits(ctx, max(min(int(req.Limit), maxAudit), 1))
	if err != nil {
		return nil, connectError(err)
	}
	resp := new(zinccovev1.AuditResponse)
	for _, a := range audits {
		resp.Entries = append(resp.Entries, &zinccovev1.AuditEntry{
			Version:     a.Version,
			FromVersion: a.FromVersion,
			Operator:    a.Operator,
			PlanId:      a.Plan,
			AtUnixMs:    a.At.UnixMilli(),
			Differences: a.Differences,
			Digest:      a.Digest,
		})
	}
	return resp, nil
}
