// Command coltsfoot-standin runs a stand-in of the platform, of a model engine, of a plain
// service or of a rank with its engine. It is for tests and local runs only.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/model"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/plain"
)

// readHeaderTimeout limits the time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	address := &cli.StringFlag{Name: "address", Usage: "`HOST:PORT` to listen on", Required: true}
	return &cli.Command{
		Name:  "coltsfoot-standin",
		Usage: "stand in for an outside system",
		Commands: []*cli.Command{
			{Name: "platform", Usage: "object API and instance list", Flags: []cli.Flag{address}, Action: runPlatform},
			{Name: "model-engine", Usage: "model engine", Flags: append(engineFlags(), address), Action: runEngine},
			{Name: "plain-service", Usage: "plain service", Flags: append(serviceFlags(), address), Action: runService},
			{Name: "rank", Usage: "rank of a rank group with its engine", Flags: append(rankFlags(), address), Action: runRank},
		},
	}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "model", Usage: "name of a model held"},
		&cli.IntFlag{Name: "cold-limit", Value: 2, Usage: "requests borne after a start"},
		&cli.IntFlag{Name: "warm-limit", Value: 32, Usage: "requests borne when warm"},
		&cli.DurationFlag{Name: "token-time", Value: 2 * time.Millisecond, Usage: "time between two tokens"},
		&cli.DurationFlag{Name: "restart-time", Value: 500 * time.Millisecond, Usage: "pause after a crash"},
	}
}

func serviceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "service", Usage: "name of a service served"},
		&cli.DurationFlag{Name: "work-time", Value: 5 * time.Millisecond, Usage: "time that a call takes"},
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c.String("address"), objects.New().Handler())
}

func runEngine(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c.String("address"), model.New(model.Options{
		Models:        c.StringSlice("model"),
		ColdLimit:     c.Int("cold-limit"),
		WarmLimit:     c.Int("warm-limit"),
		TokenInterval: c.Duration("token-time"),
		RestartDelay:  c.Duration("restart-time"),
	}).Handler())
}

func runService(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c.String("address"), plain.New(plain.Options{
		Services:     c.StringSlice("service"),
		CallDuration: c.Duration("work-time"),
	}).Handler())
}

// serve serves h on the address until ctx is done. It then closes all connections and returns nil.
func serve(ctx context.Context, address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}
