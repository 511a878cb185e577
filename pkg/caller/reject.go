package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes why a request was rejected or failed.
type ErrorDetail struct {
	Code      int          `json:"code"`
	Type      string       `json:"type"`
	Outcome   code.Outcome `json:"outcome"`
	Message   string       `json:"message"`
	RequestID string       `json:"request,omitempty"`
	// RetryAfterMillis is the time after which the request may be sent again; 0 means that it
	// should not be sent again.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// newErrorResponse returns the body for result code c. It contains retryAfter only if the request
// did not run. A detail is appended to the text of the code.
func newErrorResponse(c code.Code, detail, requestID string, retryAfter time.Duration) ErrorResponse {
	message := c.Info().Text
	if detail != "" {
		message += " " + detail
	}
	body := ErrorDetail{Code: int(c), Type: c.String(), Outcome: c.Outcome(), Message: message, RequestID: requestID}
	if c.Outcome() == code.NotRun {
		body.RetryAfterMillis = retryAfter.Milliseconds()
	}
	return ErrorResponse{Error: body}
}

// reject sends an error response; no byte of a response may have been sent before.
func reject(c *gin.Context, result code.Code, detail string, retryAfter time.Duration) {
	body := newErrorResponse(result, detail, c.GetString(requestIDKey), retryAfter)
	if body.Error.RetryAfterMillis > 0 {
		seconds := math.Ceil(retryAfter.Seconds())
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.Header(HeaderResultCode, strconv.Itoa(int(result)))
	if result.Outcome() == code.Rejected {
		// The request body may be unread, so the connection cannot be reused.
		c.Header("Connection", "close")
	}
	status := result.Info().HTTPStatus
	if status == 0 {
		status = http.StatusInternalServerError
	}
	c.JSON(status, body)
}

// requestIDKey is the key of the request ID in the gin context.
const requestIDKey = "request"
