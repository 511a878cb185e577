package news

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Methods between entries.
const (
	// MethodConfirm asks another watcher to probe a process.
	MethodConfirm = "confirm"
	// MethodInstances hands the instance list to an entry that cannot reach the platform.
	MethodInstances = "instances"
)

// ConfirmRequest names the process to probe.
type ConfirmRequest struct {
	ID string `json:"id"`
	// Control is the host:port of the process.
	Control string `json:"control"`
}

// ConfirmResult states whether the process answered.
type ConfirmResult struct {
	Reached bool `json:"reached"`
}

// InstancesRequest carries the whole list.
type InstancesRequest struct {
	List platform.List `json:"list"`
}

// InstancesResult carries the revision that the receiver knows afterwards.
type InstancesResult struct {
	Revision int64 `json:"revision"`
}
