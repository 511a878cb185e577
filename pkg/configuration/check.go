package configuration

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/settings"
)

// Parse decodes and validates a YAML document. Unknown fields are refused.
func Parse(text []byte) (*Document, error) {
	d := &Document{Limits: DefaultLimits()}
	if err := settings.Decode(text, d); err != nil {
		return nil, err
	}
	return d, nil
}
