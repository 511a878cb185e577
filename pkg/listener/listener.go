package listener

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/samber/oops"
)

// Settings hold a certificate and its private key in PEM form. The zero value means plain TCP.
type Settings struct {
	Certificate string `yaml:"certificate_pem,omitempty" validate:"required_with=Key"`
	Key         string `yaml:"key_pem,omitempty" validate:"required_with=Certificate"`
}

// Listen opens a listener at address (host:port), with TLS if s holds a certificate.
func Listen(ctx context.Context, address string, s Settings) (net.Listener, error) {
	var cfg net.ListenConfig
	if s == (Settings{}) {
		return cfg.Listen(ctx, "tcp", address)
	}
	pair, err := tls.X509KeyPair([]byte(s.Certificate), []byte(s.Key))
	if err != nil {
		return nil, oops.Wrapf(err, "certificate of listener %s", address)
	}
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}), nil
}
