package retrycount

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A burst of retries was spread over two windows, or retries counted for requests long past.
func TestMostFindsTheBurst(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	var requests, retries []time.Time
	for i := range 100 {
		requests = append(requests, at(float64(i)))
	}
	for i := range 24 {
		retries = append(retries, at(55+float64(i)/3)) // 8 s, across a multiple of the window
	}
	b := Budget{Window: 10 * time.Second, Ratio: 0.2, Allowance: 10}
	most := b.Most(requests, retries)
	is.Equal(most.Retries, 24.0)
	is.Equal(most.Part(), 2.0)
	is.Equal(b.Most(requests[:20], retries).Part(), 0.0)
	is.Equal(b.Most(nil, retries), Use{})
}
