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
	// ErrUnknownPeer is returned for a call with Expect on a connection on which the peer has not been
	// asked for its name. Nothing of the call was sent.
	ErrUnknownPeer = status.Error(codes.Unavailable, "dialer: the peer has not been asked for its name")
	// ErrWrongPeer is returned for a call with Expect on a connection to another host, or to one of a
	// version that does not name itself. Nothing of the call was sent.
	ErrWrongPeer = status.Error(codes.Unavailable, "dialer: the peer is not the expected host")
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

// Expect makes a call fail, before anything of it is sent, unless the process at the other end of the very
// connection that it is sent on has named itself as p. It costs no round trip.
func Expect(p Peer) grpc.CallOption { return grpc.PerRPCCredentials(expectation{p}) }

// NotSent reports whether a call failed since the peer is not known to be the expected host: nothing that it
// sent was processed.
func NotSent(err error) bool { return errors.Is(err, ErrUnknownPeer) || errors.Is(err, ErrWrongPeer) }

// expectation is checked for each attempt of a call, on the connection that the attempt uses.
type expectation struct{ Peer }

// GetRequestMetadata returns no metadata, or the error for which the call is not sent.
func (x expectation) GetRequestMetadata(ctx context.Context, _ ...string) (map[string]string, error) {
	r, _ := credentials.RequestInfoFromContext(ctx)
	c, ok := r.AuthInfo.(*connection)
	if !ok {
		return nil, ErrUnknownPeer
	}
	return nil, c.check(x.Peer)
}

// RequireTransportSecurity returns false: nothing secret is sent.
func (expectation) RequireTransportSecurity() bool { return false }

// SendPeer names the process that serves a stream to its client. It must be called before the first reply.
func SendPeer(s grpc.ServerStream, p Peer) error {
	return s.SetHeader(metadata.Pairs(peerHostHeader, p.Host, peerRegionHeader, p.Region))
}

// LearnPeer stores how the process at the other end of a stream named itself, for later calls with Expect on
// the connection of that stream. It must be called after the first reply.
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
