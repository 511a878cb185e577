package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/guard"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
)

const (
	// maxMessageBytes limits a control message. The largest ones carry a configuration or a list of upstreams.
	maxMessageBytes = 16 << 20
	// firstReadBytes is the size of the first piece in which a message is read; each further piece doubles it.
	firstReadBytes = 4 << 10
	streamBuffer   = 4 << 10
	// messageWriteTimeout limits the write of a message to a process that does not read.
	messageWriteTimeout = 5 * time.Second
	// maxCallsPerConn is the number of calls in progress on a guarded connection. The next message is read when one
	// of them has ended.
	maxCallsPerConn = 16
)

var (
	errMessageTooLong = errors.New("peer: the message is too long")
	errNoRoom         = errors.New("peer: no room for the message")
)

// stream carries control messages, each with its length as a varint before it. It implements
// jsonrpc2.ObjectStream, and accounts for what the other process makes this one hold if its connection is guarded.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// guarded is nil for a connection that is not guarded.
	guarded *guard.Conn
	// slots has an element for each call in progress, nil without a limit.
	slots chan struct{}
	// unclaimed is what the newest message holds until a call claims it.
	unclaimed int64

	writeMu sync.Mutex

	// mu guards the fields below.
	mu        sync.Mutex
	calls     int
	isReading bool
}

// newStream returns the stream of a connection, whose bytes traffic counts.
func newStream(raw net.Conn, t *traffic) *stream {
	conn := t.wrap(raw)
	s := &stream{conn: conn, reader: bufio.NewReaderSize(conn, streamBuffer)}
	if g, ok := raw.(*guard.Conn); ok {
		s.guarded, s.slots = g, make(chan struct{}, maxCallsPerConn)
	}
	return s
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.guarded.Release(s.unclaimed)
	s.unclaimed = 0
	if _, err := s.reader.Peek(1); err != nil {
		return err
	}
	s.setReading(true)
	defer s.setReading(false)
	length, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return oops.Wrap(errMessageTooLong)
	}
	text, err := s.readText(int(length))
	if err != nil {
		return err
	}
	decoded := intake.MessageCost(text) - s.unclaimed
	if !s.guarded.Hold(decoded) {
		return oops.Wrap(errNoRoom)
	}
	s.unclaimed += decoded
	return json.Unmarshal(text, v)
}

// readText reads a message in pieces, so that its stated length alone takes up nothing.
func (s *stream) readText(length int) ([]byte, error) {
	var text []byte
	for size := min(length, firstReadBytes); len(text) < length; size = min(2*size, length) {
		if !s.guarded.Hold(int64(size - len(text))) {
			return nil, oops.Wrap(errNoRoom)
		}
		s.unclaimed += int64(size - len(text))
		read := len(text)
		text = append(make([]byte, 0, size), text...)[:size]
		if _, err := io.ReadFull(s.reader, text[read:]); err != nil {
			return nil, err
		}
	}
	return text, nil
}

// setReading records whether a part of a message has come.
func (s *stream) setReading(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isReading = on
	if on {
		s.enter()
	}
}

// enter moves the connection to the stage that follows from its calls and messages. The caller holds s.mu.
func (s *stream) enter() {
	switch {
	case s.calls > 0:
		s.guarded.Enter(intake.Serving)
	case s.isReading:
		s.guarded.Enter(intake.Head)
	default:
		s.guarded.Enter(intake.Idle)
	}
}

// beginCall counts a call, which holds its message until endCall. It waits while there are too many.
func (s *stream) beginCall() (held int64) {
	if s.slots != nil {
		s.slots <- struct{}{}
	}
	held, s.unclaimed = s.unclaimed, 0
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.enter()
	return held
}

// endCall counts the end of a call that holds a number of bytes.
func (s *stream) endCall(held int64) {
	s.guarded.Release(held)
	s.mu.Lock()
	s.calls--
	s.enter()
	s.mu.Unlock()
	if s.slots != nil {
		<-s.slots
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	text, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	message := append(binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(text)), uint64(len(text))), text...)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(messageWriteTimeout)); err != nil {
		return err
	}
	_, err = s.conn.Write(message)
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
