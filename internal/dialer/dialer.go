package dialer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/trefoilloft/trefoilloft/internal/accepter"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// MaxMessageBytes is the maximum size of one gRPC message, sent or received.
	MaxMessageBytes = 64 << 20
	secretHeader    = "trefoil-secret"
	operatorHeader  = "trefoil-operator" // has the token of an operator, see NewOperatorServer
	minRedialDelay  = 50 * time.Millisecond
	maxRedialDelay  = time.Second
	// Time for which a connection without a reply is not replaced: it takes two round trips to
	// another region to be established, and may not be younger than the calls that wait for it.
	minConnectionAge = time.Second
	// Interval at which hosts of earlier versions send pings on a connection. This version sends
	// none: grpc compares their times by the time of day, and after that has jumped back closes
	// connections on which calls run. Calls have deadlines, and the kernel probes idle connections.
	earlierPingInterval = 10 * time.Second

	// Size of all fields of a call together, as HPACK counts them. Calls have less than 1 KB; without this, grpc
	// reads 16 MB for each connection before it looks for the secret.
	maxCallFieldBytes = 32 << 10
	// Calls that one connection may have at a time: the relays of one host to another, 33,000 requests/s of 9 regions
	// that last for seconds, are fewer by far.
	maxConnectionCalls = 4096
	// Time that a connection has for its handshake; connections to other regions need two round trips.
	handshakeTimeout = 5 * time.Second
)

// minCompressedBytes is the size of a message from which it is compressed: smaller ones fit in the
// first window of a connection, and take one round trip in any case.
const minCompressedBytes = 32 << 10

// Compression returns the options for a call whose request has the given size in bytes: large
// messages, such as configurations of many routes, consist of much the same text again and again.
func Compression(size int) []grpc.CallOption {
	if size < minCompressedBytes {
		return nil
	}
	return []grpc.CallOption{grpc.UseCompressor(gzip.Name)}
}

// CompressReply makes the server compress the reply of the call that ctx belongs to if its size in
// bytes is large. A reply that cannot be compressed is sent as it is.
func CompressReply(ctx context.Context, size int) {
	if size >= minCompressedBytes {
		_ = grpc.SetSendCompressor(ctx, gzip.Name)
	}
}

// ErrWrongSecret is returned to a client of the internal listener that did not send the
// secret shared by the processes of the system.
var ErrWrongSecret = status.Error(codes.Unauthenticated, "dialer: wrong secret")

// Dialer keeps one gRPC connection for each address. Set the exported fields before use; with
// a nil MutualTLS the connections are not encrypted.
type Dialer struct {
	Secret    string
	MutualTLS *schema.Tls
	Timer     *timer.Service
	// OperatorToken is sent with each call of an operator's program, so that the host accepts large messages.
	OperatorToken string
	// Log gets a line for each connection that reaches another host than the one expected by a call.
	Log zerolog.Logger

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn     // by address; guarded by mu
	uses  map[*grpc.ClientConn]*connState // of the connections in conns and the replaced ones; guarded by mu
}

// connState is the use of one connection.
type connState struct {
	calls    int  // running on it
	replaced bool // closed when its last call ends
	// replies counts the calls that ended with a reply.
	replies uint64
	// createdAt is the time on Timer's clock at which the connection was created.
	createdAt time.Duration
}

// Conn returns the connection to an address and creates it on first use. An error means that
// the TLS files could not be read or no client could be created; Conn does not wait for the
// connection to be established.
func (d *Dialer) Conn(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.conns[address]; c != nil {
		return c, nil
	}
	creds, err := ClientCredentials(d.MutualTLS)
	if err != nil {
		return nil, err
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(&peerCredentials{creds, address, d.Log}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRedialDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialDelay},
			MinConnectTimeout: maxRedialDelay,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithUnaryInterceptor(d.interceptUnary(address)),
		grpc.WithStreamInterceptor(d.interceptStream),
	)
	if err != nil {
		return nil, fmt.Errorf("dialer: connection to %s: %w", address, err)
	}
	if d.conns == nil {
		d.conns = map[string]*grpc.ClientConn{}
		d.uses = map[*grpc.ClientConn]*connState{}
	}
	d.conns[address] = c
	d.uses[c] = &connState{createdAt: d.Timer.Now()}
	return c, nil
}

// Replace makes later calls to an address use a new connection instead of c, which is
// unresponsive; c is closed when no call runs on it any more. It does nothing if c is not the
// current connection to the address.
func (d *Dialer) Replace(address string, c *grpc.ClientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[address] != c {
		return
	}
	delete(d.conns, address)
	d.uses[c].replaced = true
	d.closeUnused(c)
}

// closeUnused closes a replaced connection on which no call runs. The caller holds mu.
func (d *Dialer) closeUnused(c *grpc.ClientConn) {
	if u := d.uses[c]; u.replaced && u.calls == 0 {
		delete(d.uses, c)
		_ = c.Close()
	}
}

// beginCall counts a call on a connection until the returned option is called by grpc.
func (d *Dialer) beginCall(c *grpc.ClientConn) grpc.CallOption {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.uses[c]; u != nil {
		u.calls++
	}
	return grpc.OnFinish(func(err error) { d.endCall(c, err) })
}

func (d *Dialer) endCall(c *grpc.ClientConn, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.uses[c]
	if u == nil {
		return // the Dialer was closed
	}
	u.calls--
	if err == nil {
		u.replies++
	}
	d.closeUnused(c)
}

// replies returns the number of calls on a connection that ended with a reply.
func (d *Dialer) replies(c *grpc.ClientConn) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.uses[c]; u != nil {
		return u.replies
	}
	return 0
}

// unresponsive reports whether a connection, on which a call just exceeded its deadline, had no reply
// since there were repliesBefore of them. A connection that may still be being established is not
// unresponsive.
func (d *Dialer) unresponsive(c *grpc.ClientConn, repliesBefore uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.uses[c]
	return u != nil && u.replies == repliesBefore && (u.replies > 0 || d.Timer.Now()-u.createdAt >= minConnectionAge)
}

// EntryClient returns a client for the entry host at an internal address.
func (d *Dialer) EntryClient(address string) (schema.EntryServiceClient, error) {
	c, err := d.Conn(address)
	if err != nil {
		return nil, err
	}
	return schema.NewEntryServiceClient(c), nil
}

// ControlClient returns a client for the control host at an internal address.
func (d *Dialer) ControlClient(address string) (schema.ControlServiceClient, error) {
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
	for c := range d.uses {
		_ = c.Close()
	}
	d.conns, d.uses = nil, nil
}

// maxOperatorField is the longest token that is sent as a field of each call, bytes: fields have at most 32 KB together.
const maxOperatorField = 4 << 10

// isFieldValue reports whether a token can be sent as a field: gRPC fails calls with others. Where it is not sent, calls
// are limited to what a connection without the secret may send.
func isFieldValue(token string) bool {
	for _, c := range []byte(token) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return token != "" && len(token) <= maxOperatorField
}

func (d *Dialer) withSecret(ctx context.Context) context.Context {
	if isFieldValue(d.OperatorToken) {
		ctx = metadata.AppendToOutgoingContext(ctx, operatorHeader, d.OperatorToken)
	}
	return metadata.AppendToOutgoingContext(ctx, secretHeader, d.Secret)
}

// interceptUnary replaces a connection on which a call exceeds its deadline, unless another call on it
// got its reply meanwhile: then the server is only slow.
func (d *Dialer) interceptUnary(address string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		repliesBefore := d.replies(c)
		err := invoke(d.withSecret(ctx), method, req, reply, c, append(opts, d.beginCall(c))...)
		if status.Code(err) == codes.DeadlineExceeded && d.unresponsive(c, repliesBefore) {
			d.Replace(address, c)
		}
		return err
	}
}

func (d *Dialer) interceptStream(ctx context.Context, desc *grpc.StreamDesc, c *grpc.ClientConn, method string, stream grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return stream(d.withSecret(ctx), desc, c, method, append(opts, d.beginCall(c))...)
}

// NewServer returns a gRPC server for the internal listener. It requires client certificates
// unless mutualTLS is nil. It rejects calls without the secret with ErrWrongSecret, except to
// methods for which exempt returns true: their handlers check an operator's token instead. A
// handler that panics fails its own call with codes.Internal, and is logged.
func NewServer(secret string, mutualTLS *schema.Tls, exempt func(method string) bool, log zerolog.Logger) (*grpc.Server, error) {
	return NewOperatorServer(secret, mutualTLS, exempt, func(string) bool { return false }, log)
}

// NewOperatorServer returns a server as NewServer does. A connection on which a call has the token of an operator,
// for which isOperator returns true, is trusted like one with the secret (accepter.Trust). The token decides nothing
// else: handlers check that of the message.
func NewOperatorServer(secret string, mutualTLS *schema.Tls, exempt func(method string) bool, isOperator func(token string) bool, log zerolog.Logger) (*grpc.Server, error) {
	creds, err := serverCredentials(mutualTLS)
	if err != nil {
		return nil, err
	}
	authorize := func(ctx context.Context, method string) error {
		if exempt(method) || hasSecret(ctx, secret) {
			return nil
		}
		return ErrWrongSecret
	}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.MaxHeaderListSize(maxCallFieldBytes), grpc.MaxConcurrentStreams(maxConnectionCalls), grpc.ConnectionTimeout(handshakeTimeout),
		// Calls without the secret are refused before they take a goroutine and before their message is read.
		grpc.InTapHandle(func(ctx context.Context, info *tap.Info) (context.Context, error) {
			if !matchesSecret(info.Header, secret) {
				if !exempt(info.FullMethodName) {
					return nil, ErrWrongSecret
				}
				if token := info.Header.Get(operatorHeader); len(token) != 1 || !isOperator(token[0]) {
					return ctx, nil
				}
			}
			if p, ok := peer.FromContext(ctx); ok {
				accepter.Trust(p.Addr)
			}
			return ctx, nil
		}),
		// Hosts of earlier versions send pings, at these intervals at most.
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: earlierPingInterval / 2, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (reply any, err error) {
			defer recoverCall(log, info.FullMethod, &err)
			if err := authorize(ctx, info.FullMethod); err != nil {
				return nil, err
			}
			return next(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
			defer recoverCall(log, info.FullMethod, &err)
			if err := authorize(s.Context(), info.FullMethod); err != nil {
				return err
			}
			return next(srv, s)
		}),
	), nil
}

// recoverCall turns a panic of the handler of a call into an error of that call. It must be deferred.
func recoverCall(log zerolog.Logger, method string, err *error) {
	if v := recover(); v != nil {
		confiner.Count("call")
		log.Error().Str("method", method).Str("panic", fmt.Sprint(v)).Bytes("stack", debug.Stack()).Msg("handler panicked")
		*err = status.Errorf(codes.Internal, "dialer: the handler of %s failed", method)
	}
}

func hasSecret(ctx context.Context, secret string) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	return matchesSecret(md, secret)
}

func matchesSecret(md metadata.MD, secret string) bool {
	got := md.Get(secretHeader)
	return len(got) == 1 && subtle.ConstantTimeCompare([]byte(got[0]), []byte(secret)) == 1
}

// ClientCredentials returns a client's transport credentials: for mutual TLS or, if files is nil,
// for connections without encryption. An error means that a file could not be read or parsed.
func ClientCredentials(files *schema.Tls) (credentials.TransportCredentials, error) {
	if files == nil {
		return insecure.NewCredentials(), nil
	}
	pool, certificates, err := loadTLS(files)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{RootCAs: pool, Certificates: certificates, MinVersion: tls.VersionTLS13}), nil
}

func serverCredentials(files *schema.Tls) (credentials.TransportCredentials, error) {
	if files == nil {
		return insecure.NewCredentials(), nil
	}
	pool, certificates, err := loadTLS(files)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		ClientCAs: pool, Certificates: certificates, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}), nil
}

func loadTLS(files *schema.Tls) (*x509.CertPool, []tls.Certificate, error) {
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, nil, fmt.Errorf("dialer: certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.New("dialer: certificate authority: " + files.Authority + " contains no certificate")
	}
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("dialer: certificate and key: %w", err)
	}
	return pool, []tls.Certificate{certificate}, nil
}
