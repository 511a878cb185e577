package sse

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestNext(t *testing.T) {
	long := "data: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n"
	cases := []struct {
		name, text string
		want       []string
		wantErr    error
	}{
		{"two events", "data: a\n\ndata: b\n\n", []string{"data: a\n\n", "data: b\n\n"}, io.EOF},
		{"several lines", "event: e\ndata: a\n\n", []string{"event: e\ndata: a\n\n"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\n", []string{"data: a\r\n\r\n"}, io.EOF},
		{"longer than the buffer", long, []string{long}, io.EOF},
		{"cut within an event", "data: a\n\ndata: b\n", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"too long", "data: " + strings.Repeat("x", MaxEventBytes) + "\n\n", nil, ErrTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := NewReader(strings.NewReader(c.text))
			for _, want := range c.want {
				ev, err := r.Next()
				is.NoErr(err)
				is.Equal(string(ev), want)
			}
			_, err := r.Next()
			is.Equal(err, c.wantErr)
		})
	}
}
