package main

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/rankgroup"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/ranks"
)

func rankFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "group", Usage: "name of the rank group", Required: true},
		&cli.IntFlag{Name: "index", Usage: "number of the rank"},
		&cli.StringSliceFlag{Name: "peer", Usage: "control address of each rank, by number", Required: true},
		&cli.StringFlag{Name: "platform", Usage: "base URL of the object API", Required: true},
		&cli.StringFlag{Name: "token", Usage: "token of the system's processes"},
		&cli.IntFlag{Name: "layers", Value: 2, Usage: "layers of the model"},
		&cli.IntFlag{Name: "experts", Value: 16, Usage: "experts of each layer"},
		&cli.DurationFlag{Name: "load-time", Value: 50 * time.Millisecond, Usage: "time that the load of a map takes"},
		&cli.DurationFlag{Name: "step-time", Value: 5 * time.Millisecond, Usage: "time that a step takes"},
		&cli.DurationFlag{Name: "drift-time", Value: time.Second, Usage: "time between two changes of popularity"},
		&cli.DurationFlag{Name: "tick", Value: 100 * time.Millisecond, Usage: "interval in which messages are repeated"},
	}
}

// runRank serves the computed steps of a rank on the address and the protocol of the rank group
// on the peer address of the rank.
func runRank(ctx context.Context, c *cli.Command) error {
	credentials, err := peer.NewCredentials(peer.CredentialSettings{Token: c.String("token")})
	if err != nil {
		return err
	}
	engine := ranks.New(ranks.Options{
		Layers: c.Int("layers"), Experts: c.Int("experts"),
		LoadDuration: c.Duration("load-time"), DriftInterval: c.Duration("drift-time"),
	})
	addresses := c.StringSlice("peer")
	o := rankgroup.Options{
		Group: c.String("group"), RankIndex: c.Int("index"), Incarnation: rand.Uint64(),
		Platform: platform.New(platform.Options{URL: c.String("platform")}),
		Engine:   engine, StepDuration: c.Duration("step-time"), TickInterval: c.Duration("tick"),
	}
	for _, a := range addresses {
		o.Peers = append(o.Peers, peer.NewClient(a, credentials))
	}
	member := rankgroup.New(o)
	server := peer.NewServer(credentials)
	member.Handle(server)
	l, err := net.Listen("tcp", addresses[o.RankIndex])
	if err != nil {
		return err
	}
	go func() {
		// Serve ends when the server is closed.
		_ = server.Serve(l)
	}()
	defer server.Close()
	member.Start()
	defer member.Stop()
	return serve(ctx, c.String("address"), engine.Handler())
}
