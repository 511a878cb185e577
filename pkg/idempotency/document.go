package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// Limits of a document. The platform stores values of up to a megabyte.
const (
	// maxClaimBytes is the maximum encoded size of a claim without a response.
	maxClaimBytes = 192
	// MaxClaims limits the claims of a document.
	MaxClaims = 640 << 10 / maxClaimBytes
	// MaxResponseBytes limits the body of a stored response.
	MaxResponseBytes = 4 << 10
	// maxStoredResponseBytes limits the encoded stored responses of a document.
	maxStoredResponseBytes = 320 << 10
	// maxClockSkew is the maximum difference between the clocks of two entries.
	maxClockSkew = time.Minute
)

// Document is the set of claims of one partition.
type Document struct {
	Claims map[Key]Claim `json:"claims"`
}

// Clone returns a copy whose claims can be changed independently.
func (d Document) Clone() Document {
	if d.Claims == nil {
		return Document{Claims: map[Key]Claim{}}
	}
	return Document{Claims: maps.Clone(d.Claims)}
}

// Apply applies an operation at a Unix time in milliseconds. It returns the decision and whether
// the document changed.
func (d Document) Apply(o Op, nowMillis int64) (Decision, bool) {
	if o.Kind == Acquire {
		return d.acquire(o, nowMillis)
	}
	c, ok := d.Claims[o.Key]
	if !ok || c.ID != o.ID || c.State == Done {
		// The claim belongs to another request, was released or is already done.
		return Decision{Code: code.OK}, false
	}
	switch o.Kind {
	case Finish:
		c.State = Done
		c.Response = o.Response
		d.Claims[o.Key] = c
		d.trimResponses()
		return Decision{Code: code.OK}, true
	case Abandon:
		changed := c.State != Unsettled
		c.State = Unsettled
		d.Claims[o.Key] = c
		return Decision{Code: code.OK}, changed
	case Release:
		delete(d.Claims, o.Key)
		return Decision{Code: code.OK}, true
	}
	return Decision{Code: code.Internal}, false
}

// acquire grants the claim of a key that has none, and otherwise decides by the existing claim.
func (d Document) acquire(o Op, now int64) (Decision, bool) {
	c, ok := d.Claims[o.Key]
	if ok && !c.isExpired(now) {
		return c.decideRepeat(o, now), false
	}
	if !ok && len(d.Claims) >= MaxClaims {
		d.RemoveExpired(now)
	}
	if len(d.Claims) >= MaxClaims {
		return Decision{Code: code.ClaimUnavailable}, false
	}
	d.Claims[o.Key] = Claim{
		ID:             o.ID,
		Fingerprint:    o.Fingerprint,
		State:          Pending,
		DeadlineMillis: now + (o.Timeout + maxClockSkew).Milliseconds(),
		// A claim outlives its run, however short the TTL of keys is.
		ExpiresMillis: now + max(o.TTL, 2*o.Timeout).Milliseconds(),
	}
	return Decision{Code: code.OK}, true
}

// decideRepeat decides on a request whose key is already claimed.
func (c Claim) decideRepeat(o Op, now int64) Decision {
	switch {
	case c.Fingerprint != o.Fingerprint:
		return Decision{Code: code.KeyReused}
	case c.State == Done && c.Response != nil:
		return Decision{Code: code.Duplicate, Response: c.Response}
	case c.State == Done:
		return Decision{Code: code.AnswerNotKept}
	case c.State == Unsettled || now > c.DeadlineMillis:
		return Decision{Code: code.ClaimUnsettled}
	case c.ID == o.ID:
		return Decision{Code: code.OK}
	}
	return Decision{Code: code.AlreadyInProgress}
}

func (c Claim) isExpired(now int64) bool {
	return now > c.ExpiresMillis+maxClockSkew.Milliseconds()
}

// RemoveExpired drops the claims that have expired.
func (d Document) RemoveExpired(nowMillis int64) {
	maps.DeleteFunc(d.Claims, func(_ Key, c Claim) bool { return c.isExpired(nowMillis) })
}

// encodedSize returns an estimate of the encoded size of a stored response, in bytes.
func (a *Response) encodedSize() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)*4/3 + 64
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value) + 16
	}
	return n
}

// trimResponses drops stored responses, oldest first, until they fit maxStoredResponseBytes.
func (d Document) trimResponses() {
	total := 0
	var keys []Key
	for k, c := range d.Claims {
		if c.Response != nil {
			total += c.Response.encodedSize()
			keys = append(keys, k)
		}
	}
	if total <= maxStoredResponseBytes {
		return
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Compare(d.Claims[a].ExpiresMillis, d.Claims[b].ExpiresMillis)
	})
	for _, k := range keys {
		if total <= maxStoredResponseBytes {
			return
		}
		c := d.Claims[k]
		total -= c.Response.encodedSize()
		c.Response = nil
		d.Claims[k] = c
	}
}
