package steward

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Member](t, `{"upstream":"text2","steward":"text3","zone":"text4"}`)
	golden.JSON[ObserveRequest](t, `{"fence":2,"leader":"text3","group":"text4","choices":true,"lists":true,"members":["text8"],"members_digest":9}`)
	golden.JSON[RelayedObserveRequest](t, `{"fence":3,"leader":"text4","group":"text5","choices":true,"lists":true,"members":["text9"],"members_digest":10,"part":[{"upstream":"text13","steward":"text14","zone":"text15"}],"timeout_ms":16}`)
	golden.JSON[RelayedObservations](t, `{"observations":[{"position":4,"group":"text5","report":"Bw==","held_version":8,"held":[[11]],"fence":12,"needs_members":true}],"choices":"Dw=="}`)
	golden.JSON[RelayedOrderRequest](t, `{"fence":2,"order":{"rank":4,"op":5,"epoch":6,"version":7,"pass":8,"map":[[[12]]]},"map":"Dg==","ranks":[16],"part":[{"upstream":"text19","steward":"text20","zone":"text21"}],"timeout_ms":22}`)
	golden.JSON[Observation](t, `{"report":{"Group":"text3","Index":4,"Size":5,"Running":6,"Queued":7,"Pace":8.5,"Born":9,"State":{"Known":true,"Open":true,"Epoch":13,"Pass":14,"Running":15,"Prepared":16,"Loading":17,"Armed":18,"ArmedFor":19,"Held":20}},"choices":"Fg==","held_version":23,"held":[[26]],"fence":27,"needs_members":true}`)
	golden.JSON[OrderRequest](t, `{"fence":2,"order":{"rank":4,"op":5,"epoch":6,"version":7,"pass":8,"map":[[[12]]]},"map":"Dg==","check_only":true}`)
	golden.JSON[OrderResult](t, `{"accepted":true,"refused":true,"detail":"text4","fence":5}`)
	golden.JSON[term](t, `{"fence":2,"leader":"text3","claim":"text4"}`)
}
