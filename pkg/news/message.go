package news

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Methods between entries.
const (
	// MethodConfirm requests that another watcher probe a process.
	MethodConfirm = "confirm"
	// MethodInstances sends the instance list to an entry that cannot reach the platform.
	MethodInstances = "instances"
)

// ConfirmRequest identifies the process to probe.
type ConfirmRequest struct {
	ID string `json:"id"`
	// ControlAddress is the host:port of the process for calls of other processes.
	ControlAddress string `json:"control"`
}

// ConfirmResult reports whether the process responded.
type ConfirmResult struct {
	Reached bool `json:"reached"`
}

// InstancesRequest carries the complete instance list.
type InstancesRequest struct {
	List platform.List `json:"list"`
}

// InstancesResult carries the revision of the receiver's list after the call.
type InstancesResult struct {
	Revision int64 `json:"revision"`
}
