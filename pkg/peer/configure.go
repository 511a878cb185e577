package peer

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// ConfigureRequest carries a configuration update to a process with an older version.
type ConfigureRequest struct {
	SenderState
	Update configuration.Update `json:"update"`
}

// ConfigureResult is the response to a ConfigureRequest. Its SenderState holds the version in
// force at the receiver.
type ConfigureResult struct {
	SenderState
}

// SendConfiguration sends the configuration of h to a process that has the older version in
// force. It sends the sections and items that changed since then. If the process does not
// accept that difference because its document is another one, SendConfiguration sends the
// whole document. It returns the version in force at the process afterwards.
func SendConfiguration(ctx context.Context, c *Client, sender SenderState, h *configuration.Holder, version int64) (int64, error) {
	u, newer, err := h.UpdateFrom(version)
	if err != nil || !newer {
		return version, err
	}
	r, err := Call[ConfigureResult](ctx, c, MethodConfigure, ConfigureRequest{SenderState: sender, Update: u})
	if err != nil || r.ConfigVersion >= u.Version || u.FromVersion == 0 {
		return r.ConfigVersion, err
	}
	u, err = configuration.Diff(nil, h.Document())
	if err != nil {
		return r.ConfigVersion, err
	}
	r, err = Call[ConfigureResult](ctx, c, MethodConfigure, ConfigureRequest{SenderState: sender, Update: u})
	return r.ConfigVersion, err
}
