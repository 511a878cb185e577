package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

const (
	// askTimeout bounds a call to one process.
	askTimeout = 5 * time.Second
	// askParallel is the number of processes asked at a time.
	askParallel = 32
)

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "operator", Usage: "operators' `HOST:PORT` of a process; repeatable", Required: true},
		&cli.StringFlag{Name: "token", Usage: "operators' token"},
		&cli.StringFlag{Name: "ca", Usage: "PEM `FILE` of the authority of the operators' listeners; without it they speak plain HTTP"},
	}
}

// operatorClient calls the operators' listeners.
type operatorClient struct {
	http   *http.Client
	scheme string
	token  string
}

func newOperatorClient(token, ca string) (operatorClient, error) {
	o := operatorClient{http: http.DefaultClient, scheme: "http", token: token}
	if ca == "" {
		return o, nil
	}
	text, err := os.ReadFile(ca)
	if err != nil {
		return o, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return o, oops.Errorf("%s holds no certificate", ca)
	}
	o.scheme = "https"
	o.http = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}
	return o, nil
}

// get returns the body of a page; the caller closes it.
func (o operatorClient) get(ctx context.Context, address, path string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.scheme+"://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	resp, err := o.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, oops.Errorf("%s answered status %d", address, resp.StatusCode)
	}
	return resp.Body, nil
}

// answered is the answer of one process.
type answered[T any] struct {
	address string
	value   T
	err     error
}

// askAll asks all processes, several at a time, and returns the answers in the order of
// the addresses. One that does not answer does not hold up the others.
func askAll[T any](ctx context.Context, c *cli.Command, addresses []string, ask func(context.Context, operatorClient, string) (T, error)) []answered[T] {
	out := make([]answered[T], len(addresses))
	o, err := newOperatorClient(c.String("token"), c.String("ca"))
	slots := make(chan struct{}, askParallel)
	var asked sync.WaitGroup
	for i, a := range addresses {
		out[i] = answered[T]{address: a, err: err}
		if err != nil {
			continue
		}
		asked.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			out[i].value, out[i].err = ask(ctx, o, a)
		})
	}
	asked.Wait()
	return out
}
