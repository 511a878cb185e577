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
	// requestTimeout limits the duration of a request to one process.
	requestTimeout = 5 * time.Second
	// maxParallelRequests limits the requests in progress at a time.
	maxParallelRequests = 32
)

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "operator", Usage: "operators' `HOST:PORT` of a process; repeatable", Required: true},
		&cli.StringFlag{Name: "token", Usage: "operators' token"},
		&cli.StringFlag{Name: "ca", Usage: "PEM `FILE` of the authority of the operators' listeners; without it they speak plain HTTP"},
	}
}

// operatorClient sends requests to the operators' listeners of processes.
type operatorClient struct {
	http   *http.Client
	scheme string
	token  string
}

// newOperatorClient returns a client that sends token and, if caFile is not empty, uses TLS and trusts
// the certificates in that file.
func newOperatorClient(token, caFile string) (operatorClient, error) {
	o := operatorClient{http: http.DefaultClient, scheme: "http", token: token}
	if caFile == "" {
		return o, nil
	}
	text, err := os.ReadFile(caFile)
	if err != nil {
		return o, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return o, oops.Errorf("CA file %s contains no certificate", caFile)
	}
	o.scheme = "https"
	o.http = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}
	return o, nil
}

// get returns the body of the response to a GET request; the caller closes it. A status other than
// 200 is an error.
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
		return nil, oops.Errorf("%s responded with HTTP status %d", address, resp.StatusCode)
	}
	return resp.Body, nil
}

// processResult is the result of querying one process.
type processResult[T any] struct {
	address string
	value   T
	err     error
}

// queryAll queries all processes, up to maxParallelRequests at a time, and returns the results in
// the order of the addresses. Each query has its own timeout, so that a process that does not
// respond does not delay the others beyond it.
func queryAll[T any](ctx context.Context, c *cli.Command, addresses []string, query func(context.Context, operatorClient, string) (T, error)) []processResult[T] {
	results := make([]processResult[T], len(addresses))
	o, err := newOperatorClient(c.String("token"), c.String("ca"))
	slots := make(chan struct{}, maxParallelRequests)
	var queries sync.WaitGroup
	for i, a := range addresses {
		results[i] = processResult[T]{address: a, err: err}
		if err != nil {
			continue
		}
		queries.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			results[i].value, results[i].err = query(ctx, o, a)
		})
	}
	queries.Wait()
	return results
}
