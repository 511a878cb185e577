package configuration

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Zone](t, `{"name":"text2","region":"text3","state":"text4"}`)
	golden.YAML[Zone](t, `name: text2
region: text3
state: text4
`)
	golden.JSON[Model](t, `{"name":"text2","versions":["text4"]}`)
	golden.YAML[Model](t, `name: text2
versions:
- text4
`)
	golden.JSON[Service](t, `{"name":"text2","idempotent_methods":["text4"]}`)
	golden.YAML[Service](t, `name: text2
idempotent_methods:
- text4
`)
	golden.JSON[Organisation](t, `{"name":"text2","key_sha256":"text3","weight":4,"priority":5,"max_in_progress":6}`)
	golden.YAML[Organisation](t, `name: text2
key_sha256: text3
weight: 4
priority: 5
max_in_progress: 6
`)
	golden.JSON[Limits](t, `{"max_body_bytes":2,"default_timeout_ms":3,"directory_ttl_seconds":4,"organisation_max_in_flight":5,"max_attempts":6,"idempotency_key_ttl_seconds":7}`)
	golden.YAML[Limits](t, `max_body_bytes: 2
default_timeout_ms: 3
directory_ttl_seconds: 4
organisation_max_in_flight: 5
max_attempts: 6
idempotency_key_ttl_seconds: 7
`)
	golden.JSON[EditRef](t, `{"version":2,"id":"text3"}`)
	golden.JSON[Document](t, `{"version":2,"edit":"text3","trail":[{"version":6,"id":"text7"}],"availability_zones":[{"name":"text10","region":"text11","state":"text12"}],"models":[{"name":"text15","versions":["text17"]}],"services":[{"name":"text20","idempotent_methods":["text22"]}],"organisations":[{"name":"text25","key_sha256":"text26","weight":27,"priority":28,"max_in_progress":29}],"limits":{"max_body_bytes":31,"default_timeout_ms":32,"directory_ttl_seconds":33,"organisation_max_in_flight":34,"max_attempts":35,"idempotency_key_ttl_seconds":36}}`)
	golden.YAML[Document](t, `version: 2
availability_zones:
- name: text10
  region: text11
  state: text12
models:
- name: text15
  versions:
  - text17
services:
- name: text20
  idempotent_methods:
  - text22
organisations:
- name: text25
  key_sha256: text26
  weight: 27
  priority: 28
  max_in_progress: 29
limits:
  max_body_bytes: 31
  default_timeout_ms: 32
  directory_ttl_seconds: 33
  organisation_max_in_flight: 34
  max_attempts: 35
  idempotency_key_ttl_seconds: 36
`)
	golden.JSON[Edit](t, `{"version":2,"id":"text3","author":"text4","at_ms":5,"repair":true,"before":{"text8":"text9"},"update":{"from":12,"from_edit":"text13","version":14,"edit":"text15","trail":[{"version":18,"id":"text19"}],"continues":true,"changes":[{"section":"text23","hash":"text24","whole":{"raw":25},"upserts":{"raw":26},"removed":["text28"]}]}}`)
	golden.JSON[Head](t, `{"version":2,"refs":{"text4":"text5"},"history":[{"version":8,"id":"text9","author":"text10","at_ms":11,"repair":true,"before":{"text14":"text15"},"update":{"from":18,"from_edit":"text19","version":20,"edit":"text21","trail":[{"version":24,"id":"text25"}],"continues":true,"changes":[{"section":"text29","hash":"text30","whole":{"raw":31},"upserts":{"raw":32},"removed":["text34"]}]}}]}`)
	golden.JSON[Change](t, `{"section":"text2","hash":"text3","whole":{"raw":4},"upserts":{"raw":5},"removed":["text7"]}`)
	golden.JSON[Update](t, `{"from":2,"from_edit":"text3","version":4,"edit":"text5","trail":[{"version":8,"id":"text9"}],"continues":true,"changes":[{"section":"text13","hash":"text14","whole":{"raw":15},"upserts":{"raw":16},"removed":["text18"]}]}`)
}
