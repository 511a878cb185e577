package rankgroup

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
)

// RecordKind is the platform's object kind of an expertmap.Record.
const RecordKind = "rank-group"

// The methods of the protocol.
const (
	MethodOrder = "rank-order"
	MethodStep  = "rank-step"
	MethodLoads = "rank-loads"
)

// Order is one order of a controller. Exactly one field is set.
type Order struct {
	Stage  *expertmap.StageOrder  `json:"stage,omitempty"`
	Switch *expertmap.SwitchOrder `json:"switch,omitempty"`
	Retire *expertmap.RetireOrder `json:"retire,omitempty"`
}

// NewOrder returns the order that carries m: an expertmap.StageOrder, SwitchOrder or
// RetireOrder.
func NewOrder(m expertmap.Message) Order {
	switch o := m.(type) {
	case expertmap.StageOrder:
		return Order{Stage: &o}
	case expertmap.SwitchOrder:
		return Order{Switch: &o}
	case expertmap.RetireOrder:
		return Order{Retire: &o}
	}
	return Order{}
}

// message returns the order that o carries, or nil.
func (o Order) message() expertmap.Message {
	switch {
	case o.Stage != nil:
		return *o.Stage
	case o.Switch != nil:
		return *o.Switch
	case o.Retire != nil:
		return *o.Retire
	}
	return nil
}

// StepMessage is one message between ranks. Exactly one field is set.
type StepMessage struct {
	Join     *expertmap.JoinRequest    `json:"begin,omitempty"`
	Compute  *expertmap.ComputeRequest `json:"go,omitempty"`
	Transfer *expertmap.MapTransfer    `json:"give,omitempty"`
	Reminder *expertmap.LeaderReminder `json:"remind,omitempty"`
}

// newStep returns the step message that carries m.
func newStep(m expertmap.Message) StepMessage {
	switch s := m.(type) {
	case expertmap.JoinRequest:
		return StepMessage{Join: &s}
	case expertmap.ComputeRequest:
		return StepMessage{Compute: &s}
	case expertmap.MapTransfer:
		return StepMessage{Transfer: &s}
	case expertmap.LeaderReminder:
		return StepMessage{Reminder: &s}
	}
	return StepMessage{}
}

// message returns the message that s carries, or nil.
func (s StepMessage) message() expertmap.Message {
	switch {
	case s.Join != nil:
		return *s.Join
	case s.Compute != nil:
		return *s.Compute
	case s.Transfer != nil:
		return *s.Transfer
	case s.Reminder != nil:
		return *s.Reminder
	}
	return nil
}

// StepResult is the response to a step message. Response is nil for messages without a response.
type StepResult struct {
	Response *expertmap.StepResponse `json:"answer,omitempty"`
}

// LoadsRequest requests the loads of the experts in the latest interval.
type LoadsRequest struct{}

// ExpertLoads holds the loads of the experts, by layer and expert. The unit is arbitrary, but the
// same for all experts.
type ExpertLoads struct {
	Layers [][]float64 `json:"layers"`
}
