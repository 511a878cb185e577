package process

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.YAML[Common](t, `name: text2
region: text3
zone: text4
operator_address: text5
operator_token: text6
operator_tls:
  certificate_pem: text8
  key_pem: text9
credentials:
  token: text11
  tls:
    certificate_pem: text13
    key_pem: text14
    ca_pem: text15
log_level: text16
stop_timeout_ms: 17
`)
}
