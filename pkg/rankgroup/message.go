package rankgroup

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
)

// Kind is the object kind of a group's expertmap.Record.
const Kind = "rank-group"

// Methods of the protocol.
const (
	MethodOrder = "rank-order"
	MethodStep  = "rank-step"
	MethodLoads = "rank-loads"
)

// Order carries one order of a controller; the other fields are nil.
type Order struct {
	Stage  *expertmap.Stage  `json:"stage,omitempty"`
	Switch *expertmap.Switch `json:"switch,omitempty"`
	Retire *expertmap.Retire `json:"retire,omitempty"`
}

// NewOrder wraps an order.
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

// Step carries one message between ranks; the other fields are nil.
type Step struct {
	Begin  *expertmap.Begin  `json:"begin,omitempty"`
	Go     *expertmap.Go     `json:"go,omitempty"`
	Give   *expertmap.Give   `json:"give,omitempty"`
	Remind *expertmap.Remind `json:"remind,omitempty"`
}

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

// StepResult is the answer to a step message; nil where there is none.
type StepResult struct {
	Answer *expertmap.Answer `json:"answer,omitempty"`
}

// LoadsRequest asks for the loads of the experts in the newest interval.
type LoadsRequest struct{}

// Loads are the loads of the experts of each layer, in any unit.
type Loads struct {
	Layers [][]float64 `json:"layers"`
}
