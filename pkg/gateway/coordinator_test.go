package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// hangingPeers has one other gateway, which never answers.
type hangingPeers struct{ other string }

func (p hangingPeers) limitView(time.Time) requestlimit.View {
	return requestlimit.View{Live: []string{p.other}, Recent: 2, Known: 2}
}

func (p hangingPeers) admit(ctx context.Context, _ string, _ AdmitRequest) (AdmitResponse, error) {
	<-ctx.Done()
	return AdmitResponse{}, ctx.Err()
}

func (p hangingPeers) tell() {}

// A caller that left while a coordinator was asked made it count as silent, and others lost its upstreams.
func TestLeavingCallerDoesNotMakeACoordinatorSilent(t *testing.T) {
	is := is.New(t)
	l := newRequestLimits("edge-1", hclog.NewNullLogger())
	l.peers = hangingPeers{"edge-2"}
	u := requestlimit.Upstream{ID: "i-1"}
	l.recordResponse(u, platform.Outcome{HasRequestLimit: true, RequestLimit: 2}, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	is.True(!l.admit(ctx, u))
	is.True(!l.isDenied(u, time.Now()))
	is.True(!l.admit(t.Context(), u)) // it is asked again, and its silence shows
	is.True(l.isDenied(u, time.Now()))
}
