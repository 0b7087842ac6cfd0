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

// requiredRoles maps each call of the intent API to the role that it requires. Calls that are
// not listed are rejected.
var requiredRoles = map[string]settings.Role{
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
// empty name, of a router, whose key is the fleet key.
func credential(name, key string) string {
	if name == "" {
		return bearer + key
	}
	return bearer + name + ":" + key
}

// Authorize returns the option that makes a connect client send the credential
// of an operator or, with an empty name, of a router.
func Authorize(name, key string) connect.ClientOption {
	return connect.WithInterceptors(credentialInterceptor{credential(name, key)})
}

// credentialInterceptor adds a credential to the calls of a client.
type credentialInterceptor struct{ credential string }

// WrapUnary implements connect.Interceptor.
func (i credentialInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", i.credential)
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (i credentialInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", i.credential)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (i credentialInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

var (
	errWrongKey = eris.New("unknown name or wrong key")
	errNoRole   = eris.New("the operator's roles do not allow this call")
)

type operatorKey struct{}

// operatorOf returns the name of the operator that the call was authenticated as.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticateOperator checks the operator's key and role before each call.
func (s *Server) authenticateOperator(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		op := s.operator(req.Header().Get("Authorization"))
		if op == nil {
			s.options.WrongKey()
			return nil, connect.NewError(connect.CodeUnauthenticated, errWrongKey)
		}
		if !slices.Contains(op.Roles, requiredRoles[req.Spec().Procedure]) {
			return nil, connect.NewError(connect.CodePermissionDenied, errNoRole)
		}
		return next(context.WithValue(ctx, operatorKey{}, op.Name), req)
	}
}

// operator returns the operator that an Authorization header identifies, or nil if there is
// none. The digests of all operators are compared, so that the time taken does not depend on
// the name.
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

// fleetKeyInterceptor checks the fleet key before each call between routers.
type fleetKeyInterceptor struct {
	want     []byte
	wrongKey func()
}

func (c fleetKeyInterceptor) check(header string) error {
	if subtle.ConstantTimeCompare([]byte(header), c.want) == 1 {
		return nil
	}
	c.wrongKey()
	return connect.NewError(connect.CodeUnauthenticated, errWrongKey)
}

// WrapUnary implements connect.Interceptor.
func (c fleetKeyInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if err := c.check(req.Header().Get("Authorization")); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (c fleetKeyInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := c.check(conn.RequestHeader().Get("Authorization")); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (c fleetKeyInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}
