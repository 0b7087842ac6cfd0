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
	return connect.WithInterceptors(sender{credential(name, key)})
}

// sender adds a credential to the calls of a client.
type sender struct{ credential string }

// WrapUnary implements connect.Interceptor.
func (s sender) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", s.credential)
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (s sender) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", s.credential)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (s sender) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
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

// routerCheck checks the fleet key before each call between routers.
type routerCheck struct {
	want     []byte
	wrongKey func()
}

func (c routerCheck) check(header string) error {
	if subtle.ConstantTimeCompare([]byte(header), c.want) == 1 {
		return nil
	}
	c.wrongKey()
	return connect.NewError(connect.CodeUnauthenticated, errWrongKey)
}

// WrapUnary implements connect.Interceptor.
func (c routerCheck) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if err := c.check(req.Header().Get("Authorization")); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (c routerCheck) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := c.check(conn.RequestHeader().Get("Authorization")); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (c routerCheck) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}
