package dialer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// MessageLimitBytes bounds one gRPC message.
	MessageLimitBytes = 64 << 20
	secretHeader      = "trefoil-secret"
	pingInterval      = 10 * time.Second
	pingTimeout       = 2 * time.Second
	// How long a replaced connection stays open for the calls still on it.
	replacedLife = 10 * time.Minute
	redialDelay  = 50 * time.Millisecond
	redialLimit  = time.Second
)

// ErrSecret says that a caller of the internal listener is not one of our processes.
var ErrSecret = status.Error(codes.Unauthenticated, "dialer: wrong secret")

// Dialer hands out connections by address. Set the exported fields before use.
type Dialer struct {
	Secret string
	Mutual *schema.Tls
	Timer  *timer.Service

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // guarded by mu
}

// Conn returns the connection to an address, made on first use.
func (d *Dialer) Conn(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.conns[address]; c != nil {
		return c, nil
	}
	creds, err := ClientCredentials(d.Mutual)
	if err != nil {
		return nil, err
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: redialLimit},
			MinConnectTimeout: redialLimit,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MessageLimitBytes), grpc.MaxCallSendMsgSize(MessageLimitBytes)),
		grpc.WithUnaryInterceptor(d.interceptUnary(address)),
		grpc.WithStreamInterceptor(d.interceptStream),
	)
	if err != nil {
		return nil, fmt.Errorf("dialer: %s: %w", address, err)
	}
	if d.conns == nil {
		d.conns = map[string]*grpc.ClientConn{}
	}
	d.conns[address] = c
	return c, nil
}

// Purge replaces a connection that went silent.
func (d *Dialer) Purge(address string, c *grpc.ClientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[address] != c {
		return
	}
	delete(d.conns, address)
	d.Timer.Once(replacedLife, func() { _ = c.Close() })
}

// Entry returns a client of an entry host.
func (d *Dialer) Entry(address string) (schema.EntryServiceClient, error) {
	c, err := d.Conn(address)
	if err != nil {
		return nil, err
	}
	return schema.NewEntryServiceClient(c), nil
}

// Control returns a client of a control host.
func (d *Dialer) Control(address string) (schema.ControlServiceClient, error) {
	c, err := d.Conn(address)
	if err != nil {
		return nil, err
	}
	return schema.NewControlServiceClient(c), nil
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
	d.conns = nil
}

func (d *Dialer) withSecret(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, secretHeader, d.Secret)
}

func (d *Dialer) interceptUnary(address string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		err := invoke(d.withSecret(ctx), method, req, reply, c, opts...)
		if status.Code(err) == codes.DeadlineExceeded {
			d.Purge(address, c)
		}
		return err
	}
}

func (d *Dialer) interceptStream(ctx context.Context, desc *grpc.StreamDesc, c *grpc.ClientConn, method string, stream grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return stream(d.withSecret(ctx), desc, c, method, opts...)
}

// NewServer returns a gRPC server for the internal listener. Calls without the secret are
// refused, except those that free allows because they carry an operator's token.
func NewServer(secret string, mutual *schema.Tls, free func(method string) bool) (*grpc.Server, error) {
	creds, err := serverCredentials(mutual)
	if err != nil {
		return nil, err
	}
	check := func(ctx context.Context, method string) error {
		if free(method) || holdsSecret(ctx, secret) {
			return nil
		}
		return ErrSecret
	}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(MessageLimitBytes), grpc.MaxSendMsgSize(MessageLimitBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.UnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			if err := check(ctx, info.FullMethod); err != nil {
				return nil, err
			}
			return next(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			if err := check(s.Context(), info.FullMethod); err != nil {
				return err
			}
			return next(srv, s)
		}),
	), nil
}

func holdsSecret(ctx context.Context, secret string) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	got := md.Get(secretHeader)
	return len(got) == 1 && subtle.ConstantTimeCompare([]byte(got[0]), []byte(secret)) == 1
}

// ClientCredentials returns the transport security of a client; none if t is nil.
func ClientCredentials(t *schema.Tls) (credentials.TransportCredentials, error) {
	if t == nil {
		return insecure.NewCredentials(), nil
	}
	pool, pair, err := loadTLS(t)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{RootCAs: pool, Certificates: pair, MinVersion: tls.VersionTLS13}), nil
}

func serverCredentials(t *schema.Tls) (credentials.TransportCredentials, error) {
	if t == nil {
		return insecure.NewCredentials(), nil
	}
	pool, pair, err := loadTLS(t)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		ClientCAs: pool, Certificates: pair, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}), nil
}

func loadTLS(t *schema.Tls) (*x509.CertPool, []tls.Certificate, error) {
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, nil, fmt.Errorf("dialer: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.New("dialer: authority: " + t.Authority + " holds no certificate")
	}
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("dialer: %w", err)
	}
	return pool, []tls.Certificate{pair}, nil
}
