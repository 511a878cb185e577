package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// Runner runs attempts for a WorkHandler.
type Runner interface {
	// Run runs an attempt, sends the frames of its answer and returns its result. ctx
	// ends when the entry no longer listens.
	Run(ctx context.Context, s Sender, r RunRequest) RunResult
}

// Sender takes the frames of an answer in order.
type Sender interface {
	Send(f Frame) error
}

// maxRunBytes bounds an encoded RunRequest.
const maxRunBytes = 128 << 20

// WorkHandler returns the HTTP handler to which entries post attempts. It refuses
// exchanges that do not present the token of the credentials.
func WorkHandler(runner Runner, c Credentials) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+RunPath, func(w http.ResponseWriter, req *http.Request) {
		r, err := readRun(w, req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s := &sender{w: w, control: http.NewResponseController(w)}
		s.finish(runner.Run(req.Context(), s, r))
	})
	return c.guard(m)
}

// readRun reads the whole body: net/http notices that the entry went away only once
// the body was read to its end.
func readRun(w http.ResponseWriter, req *http.Request) (RunRequest, error) {
	var r RunRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxRunBytes))
	if err != nil {
		return r, err
	}
	err = json.Unmarshal(body, &r)
	return r, err
}

// sender writes an answer to the entry. It implements Sender.
type sender struct {
	w       http.ResponseWriter
	control *http.ResponseController
	open    bool
}

// Send implements Sender.
func (s *sender) Send(f Frame) error {
	if !s.open {
		s.begin(f)
	}
	if _, err := s.w.Write(f.Data); err != nil {
		return err
	}
	if f.More {
		return nil
	}
	return s.control.Flush()
}

func (s *sender) begin(f Frame) {
	s.open = true
	h := s.w.Header()
	h.Set("Trailer", trailerResult)
	if f.Status != 0 {
		h.Set(headerAnswerStatus, strconv.Itoa(f.Status))
	}
	for _, field := range f.Headers {
		h.Add(headerAnswerField, field.Name+":"+field.Value)
	}
	s.w.WriteHeader(http.StatusOK)
}

// finish writes the result as the trailer.
func (s *sender) finish(r RunResult) {
	if !s.open {
		s.begin(Frame{})
	}
	text, err := json.Marshal(r)
	if err != nil {
		// A missing trailer tells the entry that the result is lost.
		return
	}
	s.w.Header().Set(trailerResult, string(text))
}
