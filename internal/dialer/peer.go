package dialer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

const (
	// Headers in which a process names itself; names need not be ASCII.
	peerHostHeader   = "trefoil-host-bin"
	peerRegionHeader = "trefoil-region-bin"
)

var (
	// ErrUnknownPeer is returned by CheckPeer for a connection on which the peer has not been
	// asked for its name. Nothing of the call was sent.
	ErrUnknownPeer = status.Error(codes.Unavailable, "dialer: the peer has not been asked for its name")
	// ErrWrongPeer is returned by CheckPeer for a connection to another host, or to one of a
	// version that does not name itself. Nothing of the call was sent.
	ErrWrongPeer = status.Error(codes.Unavailable, "dialer: the peer is not the expected host")
	// ErrWithheld is for functions that are passed to Check.
	ErrWithheld = status.Error(codes.Unavailable, "dialer: the call may not be sent any more")
)

// Peer is the host that a process belongs to. The zero Peer stands for a process of a version that does not
// name itself.
type Peer struct {
	Host, Region string
}

// String returns the names, for logs.
func (p Peer) String() string {
	if p == (Peer{}) {
		return "a host that does not name itself"
	}
	return p.Host + " of region " + p.Region
}

// Check makes a call fail, before anything of it is sent, if check returns an error, which should have a gRPC
// status. It is called for each attempt of the call, also one that grpc makes by itself on a new connection, once
// the connection is established, and with a context for CheckPeer. It costs no round trip.
func Check(check func(ctx context.Context) error) grpc.CallOption {
	return grpc.PerRPCCredentials(attemptCheck(check))
}

// CheckPeer returns an error unless the process at the other end of the very connection that a call is sent on has
// named itself as p.
func CheckPeer(ctx context.Context, p Peer) error {
	r, _ := credentials.RequestInfoFromContext(ctx)
	c, ok := r.AuthInfo.(*connection)
	if !ok {
		return ErrUnknownPeer
	}
	return c.check(p)
}

// NotSent reports whether a call failed since the peer is not known to be the expected host, or with ErrWithheld:
// nothing that it sent was processed.
func NotSent(err error) bool {
	return errors.Is(err, ErrUnknownPeer) || errors.Is(err, ErrWrongPeer) || errors.Is(err, ErrWithheld)
}

// attemptCheck is called for each attempt of a call, on the connection that the attempt uses.
type attemptCheck func(context.Context) error

// GetRequestMetadata returns no metadata, or the error for which the call is not sent.
func (x attemptCheck) GetRequestMetadata(ctx context.Context, _ ...string) (map[string]string, error) {
	return nil, x(ctx)
}

// RequireTransportSecurity returns false: nothing secret is sent.
func (attemptCheck) RequireTransportSecurity() bool { return false }

// SendPeer names the process that serves a stream to its client. It must be called before the first reply.
func SendPeer(s grpc.ServerStream, p Peer) error {
	return s.SetHeader(metadata.Pairs(peerHostHeader, p.Host, peerRegionHeader, p.Region))
}

// LearnPeer stores how the process at the other end of a stream named itself, for CheckPeer on the
// connection of that stream. It must be called after the first reply.
func LearnPeer(s grpc.ClientStream) error {
	header, err := s.Header()
	if err != nil {
		return err
	}
	if p, ok := peer.FromContext(s.Context()); ok {
		if c, ok := p.AuthInfo.(*connection); ok {
			c.learn(Peer{first(header.Get(peerHostHeader)), first(header.Get(peerRegionHeader))})
		}
	}
	return nil
}

func first(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// connection is what is known of one network connection: a grpc.ClientConn that reconnects, which may reach
// another process, has a new one.
type connection struct {
	credentials.AuthInfo
	address string
	log     zerolog.Logger

	mu      sync.Mutex
	peer    *Peer // nil until it is known; guarded by mu
	refused Peer  // the expected host of the last refusal that was logged; guarded by mu
}

// GetCommonAuthInfo returns what grpc knows of the security of the connection.
func (c *connection) GetCommonAuthInfo() credentials.CommonAuthInfo {
	if x, ok := c.AuthInfo.(interface {
		GetCommonAuthInfo() credentials.CommonAuthInfo
	}); ok {
		return x.GetCommonAuthInfo()
	}
	return credentials.CommonAuthInfo{}
}

func (c *connection) learn(p Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer = &p
}

func (c *connection) check(want Peer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peer == nil {
		return ErrUnknownPeer
	}
	if *c.peer == want {
		return nil
	}
	if c.refused != want {
		c.refused = want
		c.log.Warn().Str("address", c.address).Stringer("expected", want).Stringer("actual", c.peer).Msg("address reaches another host")
	}
	return fmt.Errorf("%w: %s is %v, want %v", ErrWrongPeer, c.address, c.peer, want)
}

// peerCredentials are a client's credentials for an address. Handshakes are those of the embedded ones; each
// connection gets a connection.
type peerCredentials struct {
	credentials.TransportCredentials
	address string
	log     zerolog.Logger
}

// ClientHandshake establishes a connection.
func (p *peerCredentials) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := p.TransportCredentials.ClientHandshake(ctx, authority, raw)
	if err != nil {
		return conn, info, err
	}
	return conn, &connection{AuthInfo: info, address: p.address, log: p.log}, nil
}

// Clone returns a copy.
func (p *peerCredentials) Clone() credentials.TransportCredentials {
	return &peerCredentials{p.TransportCredentials.Clone(), p.address, p.log}
}
