package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
)

// TLSSettings hold certificates and keys in PEM form. The zero value means plain TCP.
type TLSSettings struct {
	// Certificate and Key are the certificate and private key of this process.
	Certificate string `yaml:"certificate_pem,omitempty" validate:"required_with=Key CA"`
	Key         string `yaml:"key_pem,omitempty" validate:"required_with=Certificate"`
	// CA holds the CA certificates that the certificates of other processes must chain to.
	CA string `yaml:"ca_pem,omitempty" validate:"required_with=Certificate"`
}

// CredentialSettings are the settings by which processes of the system authenticate to each
// other.
type CredentialSettings struct {
	// Token is the bearer token shared by all processes of the system. If it is empty, no
	// token is required.
	Token string      `yaml:"token,omitempty"`
	TLS   TLSSettings `yaml:"tls,omitempty"`
}

// Credentials authenticate this process to other processes and check theirs. The zero value
// presents no credentials and requires none.
type Credentials struct {
	token string
	tls   *tls.Config
	// traffic counts what control connections carry, nil for no count.
	traffic *traffic
}

// Counted returns credentials with which control connections count their calls and bytes in m; see
// MetricCalls.
func (c Credentials) Counted(m metrics.Registry) Credentials {
	c.traffic = newTraffic(m)
	return c
}

// NewCredentials parses the settings. It returns an error when the key pair does not parse or
// match, or when the CA holds no certificate.
func NewCredentials(s CredentialSettings) (Credentials, error) {
	c := Credentials{token: s.Token}
	if s.TLS == (TLSSettings{}) {
		return c, nil
	}
	pair, err := tls.X509KeyPair([]byte(s.TLS.Certificate), []byte(s.TLS.Key))
	if err != nil {
		return c, oops.Wrapf(err, "process certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(s.TLS.CA)) {
		return c, errors.New("process CA holds no certificate")
	}
	c.tls = &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	return c, nil
}

// Listen opens a listener for other processes at address (host:port), with mutual TLS if
// certificates are set.
func (c Credentials) Listen(ctx context.Context, address string) (net.Listener, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil || c.tls == nil {
		return l, err
	}
	return tls.NewListener(l, c.tls), nil
}

// dial connects to another process, with mutual TLS if certificates are set.
func (c Credentials) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if c.tls == nil {
		return d.DialContext(ctx, network, address)
	}
	t := tls.Dialer{NetDialer: &d, Config: c.tls}
	return t.DialContext(ctx, network, address)
}

// acceptsToken reports whether token equals the token of c, compared in constant time. If c
// has no token, it accepts any.
func (c Credentials) acceptsToken(token string) bool {
	return c.token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(c.token)) == 1
}

// requireToken rejects HTTP requests that do not present the bearer token with status 401.
func (c Credentials) requireToken(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !c.acceptsToken(token) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}
