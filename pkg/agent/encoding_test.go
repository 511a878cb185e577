package agent

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.YAML[UpstreamSettings](t, `kind: text2
url: text3
cold_limit: 4
max_limit: 5
cold_tokens: 6
max_tokens: 7
late_factor: 8.5
late_floor_ms: 9
idle_ms: 10
`)
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
control_address: text19
work_address: text20
upstream:
  kind: text22
  url: text23
  cold_limit: 24
  max_limit: 25
  cold_tokens: 26
  max_tokens: 27
  late_factor: 28.5
  late_floor_ms: 29
  idle_ms: 30
queue_limit: 31
queue_bytes: 32
saved_tokens: 33
probe_ms: 34
`)
}
