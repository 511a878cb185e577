package controller

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.YAML[GroupSettings](t, `name: text2
ranks:
- text4
spare_slots: 5
`)
	golden.YAML[WeightStoreSettings](t, `bytes_per_second: 2
expert_bytes: 3
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
platform_url: text19
lease_ms: 20
groups:
- name: text23
  ranks:
  - text25
  spare_slots: 26
weight_store:
  bytes_per_second: 28
  expert_bytes: 29
tick_ms: 30
plan_ms: 31
lost_ms: 32
`)
}
