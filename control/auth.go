package control

import (
	"context"
	"crypto/subtle"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/gen/zinccove/v1/zinccovev1connect"
	"zinccove.example/zinccove/settings"
)

// roles tells which role each call of the intent API needs. Calls that are not
// listed are refused.
var roles = map[string]settings.Role{
	zinccovev1connect.IntentServicePlanProcedure:     settings.RolePlan,
	zinccovev1connect.IntentServiceDiscardProcedure:  settings.RolePlan,
	zinccovev1connect.IntentServiceConfirmProcedure:  settings.RoleConfirm,
	zinccovev1connect.IntentServiceShowPlanProcedure: settings.RoleRead,
	zinccovev1connect.IntentServiceStatusProcedure:   settings.RoleRead,
	zinccovev1connect.IntentServiceAuditProcedure:    settings.RoleRead,
	zinccovev1connect.IntentServiceDiffProcedure:     settings.RoleRead,
}

const bearer = "Bearer "

// credential returns the Authorization header of an operator or, with an
// empty name, of a router that knows the fleet key.
func credential(name, key string) string {
	if name == "" {
		return bearer + key
	}
	return bearer + name + ":" + key
}

// Authorize returns the option of a connect client that sends the credential
// of an operator or, with an empty name, of a router.
func Authorize(name, key string) connect.ClientOption {
	add := func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", credential(name, key))
			return next(ctx, req)
		}
	}
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(add))
}

var (
	errWrongKey = eris.New("unknown name or wrong key")
	errNoRole   = eris.New("the operator's roles do not allow this call")
)

type operatorKey struct{}

// operatorOf returns the name that the call was authenticated with.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticateOperator checks an operator's key and role before each call.
func (s *Server) authenticateOperator(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		op := s.operator(req.Header().Get("Authorization"))
		if op == nil {
			s.options.WrongKey()
			return nil, connect.NewError(connect.CodeUnauthenticated, errWrongKey)
		}
		if !slices.Contains(op.Roles, roles[req.Spec().Procedure]) {
			return nil, connect.NewError(connect.CodePermissionDenied, errNoRole)
		}
		return next(context.WithValue(ctx, operatorKey{}, op.Name), req)
	}
}

// operator returns the operator of a header, nil if there is none. Every
// operator's digest is compared, so the time taken does not depend on names.
func (s *Server) operator(header string) *settings.Operator {
	name, key, _ := strings.Cut(strings.TrimPrefix(header, bearer), ":")
	digest := []byte(config.Digest([]byte(key)))
	var found *settings.Operator
	for i := range s.options.Operators {
		op := &s.options.Operators[i]
		same := subtle.ConstantTimeCompare(digest, []byte(op.KeyDigest)) == 1
		if same && op.Name == name {
			found = op
		}
	}
	return found
}

// authenticateRouter checks the fleet key before each call between routers.
func (s *Server) authenticateRouter(next connect.UnaryFunc) connect.UnaryFunc {
	want := []byte(credential("", s.options.FleetKey))
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if subtle.ConstantTimeCompare([]byte(req.Header().Get("Authorization")), want) != 1 {
			s.options.WrongKey()
			return nil, connect.NewError(connect.CodeUnauthenticated, errWrongKey)
		}
		return next(ctx, req)
	}
}
