package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// certAuthority signs certificates for a test.
type certAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

func newCertAuthority(t *testing.T) certAuthority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return certAuthority{cert, key, encodePEM("CERTIFICATE", der)}
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// issueSettings returns TLS settings with a new certificate for 127.0.0.1.
func (a certAuthority) issueSettings(t *testing.T) TLSSettings {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	secret, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	return TLSSettings{Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("EC PRIVATE KEY", secret), CA: a.pem}
}

// idleRunner runs nothing and returns the code OK with an empty response.
type idleRunner struct{}

func (idleRunner) Run(_ context.Context, _ FrameSender, r RunRequest) RunResult {
	return RunResult{Code: code.OK, RequestID: r.RequestID, Attempt: r.Attempt, Checksum: emptyChecksum}
}

// emptyChecksum is the xxHash64 of no bytes.
const emptyChecksum = 0xef46db3751d8e999

// startServers opens the control and work listeners of a process and returns their addresses.
func startServers(t *testing.T, c Credentials) (controlAddress, workAddress string) {
	t.Helper()
	is := is.New(t)
	l, err := c.Listen(context.Background(), "127.0.0.1:0")
	is.NoErr(err)
	w, err := c.Listen(context.Background(), "127.0.0.1:0")
	is.NoErr(err)
	s := NewServer(c)
	Handle(s, MethodStatus, func(context.Context, *jsonrpc2.Conn, StatusRequest) (Status, error) {
		return Status{Upstream: "u"}, nil
	})
	h := &http.Server{Handler: WorkHandler(idleRunner{}, c), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	go func() { _ = h.Serve(w) }()
	t.Cleanup(func() {
		s.Close()
		h.Close()
	})
	return l.Addr().String(), w.Addr().String()
}

func TestOnlyPeersWithValidCredentialsAreServed(t *testing.T) {
	own, other := newCertAuthority(t), newCertAuthority(t)
	ownTLS := own.issueSettings(t)
	cases := []struct {
		name           string
		server, client CredentialSettings
		wantServed     bool
	}{
		{"no credentials required", CredentialSettings{}, CredentialSettings{}, true},
		{"right token", CredentialSettings{Token: "a"}, CredentialSettings{Token: "a"}, true},
		{"wrong token", CredentialSettings{Token: "a"}, CredentialSettings{Token: "b"}, false},
		{"no token", CredentialSettings{Token: "a"}, CredentialSettings{}, false},
		{"certificate of the same CA", CredentialSettings{TLS: ownTLS}, CredentialSettings{TLS: own.issueSettings(t)}, true},
		{"certificate of another CA", CredentialSettings{TLS: ownTLS}, CredentialSettings{TLS: other.issueSettings(t)}, false},
		{"plain TCP to TLS", CredentialSettings{TLS: ownTLS}, CredentialSettings{}, false},
		{"TLS and wrong token", CredentialSettings{Token: "a", TLS: ownTLS}, CredentialSettings{Token: "b", TLS: own.issueSettings(t)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sc, err := NewCredentials(c.server)
			is.NoErr(err)
			cc, err := NewCredentials(c.client)
			is.NoErr(err)
			control, work := startServers(t, sc)
			client := NewClient(control, cc)
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err = Call[Status](ctx, client, MethodStatus, StatusRequest{})
			is.Equal(err == nil, c.wantServed) // control listener
			_, err = client.Run(ctx, work, RunRequest{RequestID: "r", Attempt: 1}, func(Frame) error { return nil })
			is.Equal(err == nil, c.wantServed) // work listener
		})
	}
}

func TestCallBeforeAuthenticationIsRejected(t *testing.T) {
	is := is.New(t)
	c, err := NewCredentials(CredentialSettings{Token: "a"})
	is.NoErr(err)
	control, _ := startServers(t, c)
	raw, err := net.Dial("tcp", control)
	is.NoErr(err)
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), noopHandler{})
	defer conn.Close()
	err = conn.Call(context.Background(), MethodStatus, StatusRequest{}, nil)
	var e *jsonrpc2.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Code, int64(code.Unauthorised))
}
