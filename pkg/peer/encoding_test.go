package peer

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[ClaimRequest](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"op":{"kind":"text8","key":"text9","id":"text10","fingerprint":"11","timeout":12,"ttl":13,"answer":{"s":16,"h":[{"n":"text19","v":"text20"}],"b":"Fg=="}}}`)
	golden.JSON[ClaimResult](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"available":true,"decision":{"code":9,"answer":{"s":12,"h":[{"n":"text15","v":"text16"}],"b":"Eg=="}}}`)
	golden.JSON[ConfigureRequest](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"update":{"from":8,"from_edit":"text9","version":10,"edit":"text11","trail":[{"version":14,"id":"text15"}],"continues":true,"changes":[{"section":"text19","hash":"text20","whole":{"raw":21},"upserts":{"raw":22},"removed":["text24"]}]}}`)
	golden.YAML[TLSSettings](t, `certificate_pem: text2
key_pem: text3
ca_pem: text4
`)
	golden.YAML[CredentialSettings](t, `token: text2
tls:
  certificate_pem: text4
  key_pem: text5
  ca_pem: text6
`)
	golden.JSON[Listing](t, `{"leaving":true,"revision":3}`)
	golden.JSON[SenderState](t, `{"stamp":{"wall":3,"count":4},"config_version":5}`)
	golden.JSON[Header](t, `{"name":"text2","value":"text3"}`)
	golden.JSON[RunRequest](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"call":"text7","request":"text8","attempt":9,"from":"text10","incarnation":"text11","issued_ms":12,"organisation":"text13","priority":14,"weight":15,"kind":"text16","target":"text17","method":"text18","path":"text19","headers":[{"name":"text22","value":"text23"}],"body":"GQ==","stream":true,"idempotent":true,"idempotency_key":"text28","fingerprint":"text29","alone":true,"cost":31,"start_by_ms":32,"timeout_ms":33}`)
	golden.JSON[RunResult](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"code":7,"detail":"text8","call":"text9","request":"text10","attempt":11,"incarnation":"text12","length":13,"checksum":"14","tokens":15,"retry_after_ms":16,"load":{"stamp":{"wall":20,"count":21},"config_version":22,"upstream":"text23","zone":"text24","incarnation":"text25","work_address":"text26","clock_ms":27,"models":["text29"],"services":["text31"],"limit":32,"running":33,"queued":34,"yours":35,"cold":true,"leaving":true,"zone_out":true,"reachable":true,"service_ms":40.5,"cache":{"first":42,"next":43,"stored":[45],"removed":[47],"cleared":true},"verdicts":[{"fingerprint":"text51","state":"text52","stamp":{"wall":54,"count":55}}]}}`)
	golden.JSON[CancelRequest](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"call":"text7","request":"text8","attempt":9,"incarnation":"text10","issued_ms":11}`)
	golden.JSON[CancelResult](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"state":"text7"}`)
	golden.JSON[StatusRequest](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"from":"text7","listed":{"leaving":true,"revision":10},"cache_after":11}`)
	golden.JSON[Status](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"upstream":"text7","zone":"text8","incarnation":"text9","work_address":"text10","clock_ms":11,"models":["text13"],"services":["text15"],"limit":16,"running":17,"queued":18,"yours":19,"cold":true,"leaving":true,"zone_out":true,"reachable":true,"service_ms":24.5,"cache":{"first":26,"next":27,"stored":[29],"removed":[31],"cleared":true},"verdicts":[{"fingerprint":"text35","state":"text36","stamp":{"wall":38,"count":39}}]}`)
	golden.JSON[VerdictRequest](t, `{"stamp":{"wall":4,"count":5},"config_version":6,"verdicts":[{"fingerprint":"text9","state":"text10","stamp":{"wall":12,"count":13}}]}`)
	golden.JSON[ProbeRequest](t, `{"c":2,"l":3}`)
	golden.JSON[ProbeResult](t, `{"c":2,"l":3,"x":true,"i":"text5"}`)
	golden.JSON[authenticateRequest](t, `{"token":"text2"}`)
}
