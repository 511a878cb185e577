package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by what it asks for.
type Fingerprint string

// fingerprintBytes is the length of a fingerprint before it is written as text.
const fingerprintBytes = 16

// Of returns the fingerprint of a request.
func Of(organisation, target, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(organisation), []byte(target), []byte(method), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// A hash never returns an error from Write.
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
