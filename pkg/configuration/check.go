package configuration

import (
	"errors"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/settings"
)

// Parse decodes and validates a YAML document. Unknown fields are refused.
func Parse(text []byte) (*Document, error) {
	d := &Document{Limits: DefaultLimits()}
	if err := settings.Decode(text, d); err != nil {
		return nil, err
	}
	return d, CheckAcross(d)
}

// Check validates a whole document: each field and all sections together.
func Check(d *Document) error {
	if err := settings.Validate(d); err != nil {
		return err
	}
	return CheckAcross(d)
}

// CheckAcross validates what several sections must hold together.
func CheckAcross(d *Document) error {
	var faults []error
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		services[s.Name] = true
	}
	for _, m := range d.Models {
		if services[m.Name] {
			faults = append(faults, oops.Errorf("models and services: both name %q", m.Name))
		}
	}
	for _, o := range d.Organisations {
		if o.MaxInProgress > d.Limits.OrganisationMaxInFlight {
			faults = append(faults, oops.Errorf("organisations and limits: max_in_progress %d of %q exceeds organisation_max_in_flight %d",
				o.MaxInProgress, o.Name, d.Limits.OrganisationMaxInFlight))
		}
	}
	if !hasZoneIn(d.Zones) {
		faults = append(faults, oops.Errorf("availability_zones: no zone is in"))
	}
	return errors.Join(faults...)
}

func hasZoneIn(zones []Zone) bool {
	for _, z := range zones {
		if z.State == ZoneIn {
			return true
		}
	}
	return false
}
