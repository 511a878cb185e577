package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// Fault is the body of a refusal.
type Fault struct {
	Error FaultDetail `json:"error"`
}

// FaultDetail describes a refusal.
type FaultDetail struct {
	Code    int          `json:"code"`
	Type    string       `json:"type"`
	Outcome code.Outcome `json:"outcome"`
	Message string       `json:"message"`
	Request string       `json:"request,omitempty"`
	// RetryAfterMillis is the time after which the request may be sent again; 0 means
	// that it should not be.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// newFault returns the body for a code.
func newFault(c code.Code, detail, request string, after time.Duration) Fault {
	text := c.Info().Text
	if detail != "" {
		text += " " + detail
	}
	d := FaultDetail{Code: int(c), Type: c.String(), Outcome: c.Outcome(), Message: text, Request: request}
	if c.Outcome() == code.NotRun {
		d.RetryAfterMillis = after.Milliseconds()
	}
	return Fault{Error: d}
}

// refuse answers a request of which no byte was sent yet.
func refuse(c *gin.Context, result code.Code, detail string, after time.Duration) {
	f := newFault(result, detail, c.GetString(keyRequest), after)
	if f.Error.RetryAfterMillis > 0 {
		seconds := math.Ceil(after.Seconds())
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.Header(HeaderCode, strconv.Itoa(int(result)))
	if result.Outcome() == code.Rejected {
		// The body may be unread; the connection cannot be used again.
		c.Header("Connection", "close")
	}
	status := result.Info().Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	c.JSON(status, f)
}

// keyRequest is the gin key of the request's name.
const keyRequest = "request"
