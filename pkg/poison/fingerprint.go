package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by its content, as hexadecimal text.
type Fingerprint string

// fingerprintBytes is the length of a fingerprint before encoding.
const fingerprintBytes = 16

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(organisation, target, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(organisation), []byte(target), []byte(method), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Write of a hash never returns an error.
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
