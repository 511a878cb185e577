package sse

import (
	"testing"

	"github.com/matryer/is"
)

func TestID(t *testing.T) {
	is := is.New(t)
	is.Equal(ID([]byte("id: 12\ndata: id: 3\n\n")), "12")
	is.Equal(ID([]byte("event: e\r\nid:7\r\n\r\n")), "7")
	is.Equal(ID([]byte("data: id\n\n")), "")
}
