package peer

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// ConfigureRequest hands a newer configuration to a process that is behind.
type ConfigureRequest struct {
	News
	Update configuration.Update `json:"update"`
}

// ConfigureResult answers with the version in force at the receiver.
type ConfigureResult struct {
	News
}

// Inform hands the configuration of h to a process that has an older version in force:
// the sections and items that changed, or everything when the process turns out to
// have another document. It returns the version in force there afterwards.
func Inform(ctx context.Context, c *Client, news News, h *configuration.Holder, version int64) (int64, error) {
	u, newer, err := h.UpdateFrom(version)
	if err != nil || !newer {
		return version, err
	}
	r, err := Call[ConfigureResult](ctx, c, MethodConfigure, ConfigureRequest{News: news, Update: u})
	if err != nil || r.ConfigVersion >= u.Version || u.FromVersion == 0 {
		return r.ConfigVersion, err
	}
	u, err = configuration.Diff(nil, h.Document())
	if err != nil {
		return r.ConfigVersion, err
	}
	r, err = Call[ConfigureResult](ctx, c, MethodConfigure, ConfigureRequest{News: news, Update: u})
	return r.ConfigVersion, err
}
