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

	"github.com/samber/oops"
)

// TLSSettings hold keys in PEM form. The zero value means plain TCP.
type TLSSettings struct {
	// Certificate and Key are those of this process.
	Certificate string `yaml:"certificate_pem,omitempty" validate:"required_with=Key CA"`
	Key         string `yaml:"key_pem,omitempty" validate:"required_with=Certificate"`
	// CA holds the certificates that sign those of the other processes.
	CA string `yaml:"ca_pem,omitempty" validate:"required_with=Certificate"`
}

// CredentialSettings tell the system's own processes from everybody else.
type CredentialSettings struct {
	// Token is known to all processes of the system; empty means that none is asked for.
	Token string      `yaml:"token,omitempty"`
	TLS   TLSSettings `yaml:"tls,omitempty"`
}

// Credentials prove to other processes that this one belongs to the system. The zero
// value proves and asks nothing.
type Credentials struct {
	token string
	tls   *tls.Config
}

// NewCredentials checks the settings and returns the credentials.
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

// Listen opens a listener for other processes.
func (c Credentials) Listen(ctx context.Context, address string) (net.Listener, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil || c.tls == nil {
		return l, err
	}
	return tls.NewListener(l, c.tls), nil
}

// dial connects to another process.
func (c Credentials) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if c.tls == nil {
		return d.DialContext(ctx, network, address)
	}
	t := tls.Dialer{NetDialer: &d, Config: c.tls}
	return t.DialContext(ctx, network, address)
}

// acceptsToken reports whether a presented token is the right one. Without a token of its
// own it acceptsToken any.
func (c Credentials) acceptsToken(token string) bool {
	return c.token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(c.token)) == 1
}

// requireToken refuses HTTP requests that do not present the token.
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
