package entry

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.YAML[Settings](t, `name: text3
region: text4
zone: text5
operator_address: text6
operator_token: text7
operator_tls:
  certificate_pem: text9
  key_pem: text10
credentials:
  token: text12
  tls:
    certificate_pem: text14
    key_pem: text15
    ca_pem: text16
log_level: text17
stop_timeout_ms: 18
caller_address: text19
caller_tls:
  certificate_pem: text21
  key_pem: text22
control_address: text23
platform_url: text24
status_ms: 25
`)
}
