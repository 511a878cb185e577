package rankgroup

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
)

// Kind is the platform's object kind of an expertmap.Record.
const Kind = "rank-group"

// The methods of the protocol.
const (
	MethodOrder = "rank-order"
	MethodStep  = "rank-step"
	MethodLoads = "rank-loads"
)

// Order is one order of a controller. Exactly one field is set.
type Order struct {
	Stage  *expertmap.Stage  `json:"stage,omitempty"`
	Switch *expertmap.Switch `json:"switch,omitempty"`
	Retire *expertmap.Retire `json:"retire,omitempty"`
}

// NewOrder returns the order that carries m: an expertmap.Stage, Switch or Retire.
func NewOrder(m expertmap.Message) Order {
	switch o := m.(type) {
	case expertmap.Stage:
		return Order{Stage: &o}
	case expertmap.Switch:
		return Order{Switch: &o}
	case expertmap.Retire:
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

// Step is one message between ranks. Exactly one field is set.
type Step struct {
	Begin  *expertmap.Begin  `json:"begin,omitempty"`
	Go     *expertmap.Go     `json:"go,omitempty"`
	Give   *expertmap.Give   `json:"give,omitempty"`
	Remind *expertmap.Remind `json:"remind,omitempty"`
}

// newStep returns the step message that carries m.
func newStep(m expertmap.Message) Step {
	switch s := m.(type) {
	case expertmap.Begin:
		return Step{Begin: &s}
	case expertmap.Go:
		return Step{Go: &s}
	case expertmap.Give:
		return Step{Give: &s}
	case expertmap.Remind:
		return Step{Remind: &s}
	}
	return Step{}
}

// message returns the message that s carries, or nil.
func (s Step) message() expertmap.Message {
	switch {
	case s.Begin != nil:
		return *s.Begin
	case s.Go != nil:
		return *s.Go
	case s.Give != nil:
		return *s.Give
	case s.Remind != nil:
		return *s.Remind
	}
	return nil
}

// StepResult is the response to a step message. Answer is nil for messages without a response.
type StepResult struct {
	Answer *expertmap.Answer `json:"answer,omitempty"`
}

// LoadsRequest requests the loads of the experts in the latest interval.
type LoadsRequest struct{}

// Loads holds the loads of the experts, by layer and expert. The unit is arbitrary, but the same
// for all experts.
type Loads struct {
	Layers [][]float64 `json:"layers"`
}
