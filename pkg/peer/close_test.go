package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// A connection that is accepted during or after Close is closed without being served.
func TestClosedServerRejectsNewConnections(t *testing.T) {
	is := is.New(t)
	cr, err := peer.NewCredentials(peer.CredentialSettings{})
	is.NoErr(err)
	s := peer.NewServer(cr)
	peer.Handle(s, peer.MethodProbe, func(context.Context, *jsonrpc2.Conn, peer.ProbeRequest) (peer.ProbeResult, error) {
		return peer.ProbeResult{}, nil
	})
	is.NoErr(s.Close())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() { _ = s.Serve(l) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := peer.NewClient(l.Addr().String(), cr)
	defer c.Close()
	_, err = peer.Call[peer.ProbeResult](ctx, c, peer.MethodProbe, peer.ProbeRequest{})
	is.True(err != nil)
	is.NoErr(ctx.Err())
}
