package sse

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestNext(t *testing.T) {
	long := "data: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n"
	line := func(size int) string { return "data: " + strings.Repeat("x", size-len("data: ")) }
	fullLine, fullLineCR := line(readBufferBytes), line(readBufferBytes-1)+"\r"
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
		{"cut after a line that fills the buffer", "id: 1\n" + fullLine + "\n", nil, io.ErrUnexpectedEOF},
		{"cut after a line that fills the buffer with its carriage return", "id: 1\n" + fullLineCR + "\n", nil, io.ErrUnexpectedEOF},
		{"line that fills the buffer", fullLine + "\nid: 1\n\n", []string{fullLine + "\nid: 1\n\n"}, io.EOF},
		{"blank line after a line that fills the buffer", fullLine + "\n\ndata: b\n\n", []string{fullLine + "\n\n", "data: b\n\n"}, io.EOF},
		{"cut after a line of spaces", "id: 1\n \n", nil, io.ErrUnexpectedEOF},
		{"cut after a line of a carriage return and a space", "id: 1\n\r \n", nil, io.ErrUnexpectedEOF},
		{"line of spaces", "id: 1\n \ndata: a\n\n", []string{"id: 1\n \ndata: a\n\n"}, io.EOF},
		{"blank lines between events", "data: a\n\n\n\r\ndata: b\n\n", []string{"data: a\n\n", "\n\r\ndata: b\n\n"}, io.EOF},
		{"blank lines after the last event", "data: a\n\n\n\r\n", []string{"data: a\n\n"}, io.EOF},
		{"spaces after the last event", "data: a\n\n  ", []string{"data: a\n\n"}, io.EOF},
		{"cut in the first line of an event", "data: a\n\n\nd", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"no events", "", nil, io.EOF},
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

// TestNextReadsALineOfTheBufferSize guards against an event that is cut after a line that fills the
// read buffer: a stream that broke off there looked complete.
func TestNextReadsALineOfTheBufferSize(t *testing.T) {
	for _, size := range []int{readBufferBytes - 1, readBufferBytes, readBufferBytes + 1, 2 * readBufferBytes} {
		is := is.New(t)
		const field = "data: "
		line := field + strings.Repeat("x", size-len(field))
		event := "id: 1\n" + line + "\ndata: y\n\n"
		r := NewReader(strings.NewReader(event + event))
		for range 2 {
			ev, err := r.Next()
			is.NoErr(err)
			is.Equal(len(ev), len(event))
		}
		_, err := r.Next()
		is.Equal(err, io.EOF)
		_, err = NewReader(strings.NewReader("id: 1\n" + line + "\n")).Next()
		is.Equal(err, io.ErrUnexpectedEOF)
		_, err = NewReader(strings.NewReader("id: 1\n" + line + "\r\n")).Next()
		is.Equal(err, io.ErrUnexpectedEOF)
	}
}

// TestNextEndsAnEventOnlyAtABlankLine guards against an event that is cut after a line of spaces,
// which is a field without a value.
func TestNextEndsAnEventOnlyAtABlankLine(t *testing.T) {
	is := is.New(t)
	const event = "data: a\n \t\ndata: b\n\n"
	ev, err := NewReader(strings.NewReader(event)).Next()
	is.NoErr(err)
	is.Equal(string(ev), event)
	_, err = NewReader(strings.NewReader("data: a\n \n")).Next()
	is.Equal(err, io.ErrUnexpectedEOF)
}
