package idempotency

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Header](t, `{"n":"text2","v":"text3"}`)
	golden.JSON[Response](t, `{"s":2,"h":[{"n":"text5","v":"text6"}],"b":"CA=="}`)
	golden.JSON[Claim](t, `{"i":"text2","f":"3","s":"text4","d":5,"e":6,"a":{"s":9,"h":[{"n":"text12","v":"text13"}],"b":"Dw=="}}`)
	golden.JSON[Op](t, `{"kind":"text2","key":"text3","id":"text4","fingerprint":"5","timeout":6,"ttl":7,"answer":{"s":10,"h":[{"n":"text13","v":"text14"}],"b":"EA=="}}`)
	golden.JSON[Decision](t, `{"code":2,"answer":{"s":5,"h":[{"n":"text8","v":"text9"}],"b":"Cw=="}}`)
	golden.JSON[Document](t, `{"claims":{"text3":{"i":"text5","f":"6","s":"text7","d":8,"e":9,"a":{"s":12,"h":[{"n":"text15","v":"text16"}],"b":"Eg=="}}}}`)
}
