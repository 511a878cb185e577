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

func TestHasData(t *testing.T) {
	is := is.New(t)
	is.True(HasData([]byte("id: 12\ndata: a\n\n")))
	is.True(HasData([]byte("data\r\n\r\n"))) // a field without a colon has an empty value
	is.True(HasData([]byte(": ok\n\ndata:\n\n")))
	is.True(!HasData([]byte(": ok\n\n")))
	is.True(!HasData([]byte(": data: a\n\n")))
	is.True(!HasData([]byte("id: 1\nevent: data\n\n")))
	is.True(!HasData([]byte("id: 1\n data: a\n\n")))
	is.True(!HasData([]byte("database: a\n\n")))
}
