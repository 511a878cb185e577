package fleet

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// On a busy machine the system takes seconds to end a killed process, which resets connections meanwhile. Scenarios asked it for its
// events, and failed.
func TestKilledProcessIsNotAskedAnyMore(t *testing.T) {
	is := is.New(t)
	p := &Process{Name: "a", OperatorAddress: "127.0.0.1:1", binaryPath: "/bin/sleep", args: []string{"60"}, logPath: filepath.Join(t.TempDir(), "log")}
	f := &Fleet{Processes: map[string]*Process{"a": p}, startOrder: []string{"a"}}
	is.NoErr(p.start())
	is.Equal(f.OperatorAddresses(), []string{"127.0.0.1:1"})
	is.NoErr(f.Kill("a"))
	is.Equal(len(f.OperatorAddresses()), 0)
	_, err := p.Wait(time.Minute)
	is.NoErr(err)
	is.NoErr(f.Restart("a"))
	is.Equal(f.OperatorAddresses(), []string{"127.0.0.1:1"})
	is.NoErr(f.Kill("a"))
	_, err = p.Wait(time.Minute)
	is.NoErr(err)
}
