package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// Runner runs the attempts that a WorkHandler receives.
type Runner interface {
	// Run runs an attempt, sends the frames of its response to s and returns its result.
	// ctx ends when the entry closes the connection.
	Run(ctx context.Context, s FrameSender, r RunRequest) RunResult
}

// FrameSender sends a response to the entry.
type FrameSender interface {
	// Send sends the next frame. Frames must be sent in order.
	Send(f Frame) error
}

// maxRunRequestBytes limits the size of an encoded RunRequest.
const maxRunRequestBytes = 128 << 20

// WorkHandler returns the HTTP handler to which entries post attempts. It rejects requests
// that do not present the token of the credentials.
func WorkHandler(runner Runner, c Credentials) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+RunPath, func(w http.ResponseWriter, req *http.Request) {
		r, err := readRunRequest(w, req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s := &frameWriter{w: w, control: http.NewResponseController(w)}
		s.writeResult(runner.Run(req.Context(), s, r))
	})
	return c.requireToken(m)
}

// readRunRequest reads the body to its end before it decodes it: net/http detects a closed
// connection of the entry only after that.
func readRunRequest(w http.ResponseWriter, req *http.Request) (RunRequest, error) {
	var r RunRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxRunRequestBytes))
	if err != nil {
		return r, err
	}
	err = json.Unmarshal(body, &r)
	return r, err
}

// frameWriter writes the frames of a response to the entry. It implements FrameSender.
type frameWriter struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	headerWritten bool
}

// Send implements FrameSender.
func (s *frameWriter) Send(f Frame) error {
	if !s.headerWritten {
		s.writeHeader(f)
	}
	if _, err := s.w.Write(f.Data); err != nil {
		return err
	}
	if f.HasMore {
		return nil
	}
	return s.control.Flush()
}

// writeHeader writes the HTTP header with the status and header fields of the first frame.
func (s *frameWriter) writeHeader(f Frame) {
	s.headerWritten = true
	h := s.w.Header()
	h.Set("Trailer", trailerResult)
	if f.Status != 0 {
		h.Set(headerResponseStatus, strconv.Itoa(f.Status))
	}
	for _, field := range f.Headers {
		h.Add(headerResponseField, field.Name+":"+field.Value)
	}
	s.w.WriteHeader(http.StatusOK)
}

// writeResult writes the result as the trailer.
func (s *frameWriter) writeResult(r RunResult) {
	if !s.headerWritten {
		s.writeHeader(Frame{})
	}
	text, err := json.Marshal(r)
	if err != nil {
		// The entry treats a missing trailer as a lost result.
		return
	}
	s.w.Header().Set(trailerResult, string(text))
}
