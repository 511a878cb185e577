package configuration

import (
	"errors"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/settings"
)

// Parse decodes and validates a YAML document. Unknown fields are an error. If the document has no
// limits, the default limits apply.
func Parse(text []byte) (*Document, error) {
	d := &Document{Limits: DefaultLimits()}
	if err := settings.Decode(text, d); err != nil {
		return nil, err
	}
	return d, CheckConsistency(d)
}

// Check validates a document: each field by itself and the sections against each other.
func Check(d *Document) error {
	if err := settings.Validate(d); err != nil {
		return err
	}
	return CheckConsistency(d)
}

// CheckConsistency validates constraints that span several sections. It returns all violations,
// joined.
func CheckConsistency(d *Document) error {
	var errs []error
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		services[s.Name] = true
	}
	for _, m := range d.Models {
		if services[m.Name] {
			errs = append(errs, oops.Errorf("models and services: %q is the name of a model and of a service", m.Name))
		}
	}
	for _, o := range d.Organisations {
		if o.MaxInProgress > d.Limits.OrganisationMaxInFlight {
			errs = append(errs, oops.Errorf("organisations and limits: max_in_progress %d of %q exceeds organisation_max_in_flight %d",
				o.MaxInProgress, o.Name, d.Limits.OrganisationMaxInFlight))
		}
	}
	if !hasZoneIn(d.Zones) {
		errs = append(errs, oops.Errorf(`availability_zones: no zone has the state "in"`))
	}
	return errors.Join(errs...)
}

// hasZoneIn reports whether at least one zone may receive new work.
func hasZoneIn(zones []Zone) bool {
	for _, z := range zones {
		if z.State == ZoneIn {
			return true
		}
	}
	return false
}
