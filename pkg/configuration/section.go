package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/samber/oops"
)

// Section names a part of the document that is owned by one team.
type Section string

// Sections of the document. The values are their YAML keys.
const (
	ZonesSection         Section = "availability_zones"
	ModelsSection        Section = "models"
	ServicesSection      Section = "services"
	OrganisationsSection Section = "organisations"
	LimitsSection        Section = "limits"
)

// Sections lists all sections in the order of the document.
func Sections() []Section {
	return []Section{ZonesSection, ModelsSection, ServicesSection, OrganisationsSection, LimitsSection}
}

// SectionHashes maps a section to the hash of its content.
type SectionHashes map[Section]string

// hashBytes is the number of bytes of the SHA-256 that a content hash keeps.
const hashBytes = 16

// Hash returns the hexadecimal content hash of an encoded section.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:hashBytes])
}

// Encode returns the canonical encoding of a section: JSON with items ordered by name.
func Encode(d *Document, s Section) ([]byte, error) {
	switch s {
	case ZonesSection:
		return encodeList(d.Zones, zoneName)
	case ModelsSection:
		return encodeList(d.Models, modelName)
	case ServicesSection:
		return encodeList(d.Services, serviceName)
	case OrganisationsSection:
		return encodeList(d.Organisations, organisationName)
	case LimitsSection:
		return json.Marshal(d.Limits)
	}
	return nil, oops.Errorf("unknown section %q", s)
}

// DecodeSection sets section s of d from its canonical encoding.
func DecodeSection(d *Document, s Section, content []byte) error {
	targets := map[Section]any{
		ZonesSection:         &d.Zones,
		ModelsSection:        &d.Models,
		ServicesSection:      &d.Services,
		OrganisationsSection: &d.Organisations,
		LimitsSection:        &d.Limits,
	}
	target, ok := targets[s]
	if !ok {
		return oops.Errorf("unknown section %q", s)
	}
	return oops.Wrapf(json.Unmarshal(content, target), "decode section %s", s)
}

// CopySection sets section s of to to that of from. The documents share the content.
func CopySection(to, from *Document, s Section) {
	switch s {
	case ZonesSection:
		to.Zones = from.Zones
	case ModelsSection:
		to.Models = from.Models
	case ServicesSection:
		to.Services = from.Services
	case OrganisationsSection:
		to.Organisations = from.Organisations
	case LimitsSection:
		to.Limits = from.Limits
	}
}

// HashSections returns the hashes of all sections of d.
func HashSections(d *Document) (SectionHashes, error) {
	hashes := make(SectionHashes, len(Sections()))
	for _, s := range Sections() {
		content, err := Encode(d, s)
		if err != nil {
			return nil, err
		}
		hashes[s] = Hash(content)
	}
	return hashes, nil
}

func zoneName(z Zone) string                 { return z.Name }
func modelName(m Model) string               { return m.Name }
func serviceName(s Service) string           { return s.Name }
func organisationName(o Organisation) string { return o.Name }

// sortedByName returns a copy of list sorted by name. The copy is never nil, so that an empty
// section is encoded as [] and not as null.
func sortedByName[T any](list []T, name func(T) string) []T {
	out := make([]T, len(list))
	copy(out, list)
	sort.SliceStable(out, func(a, b int) bool { return name(out[a]) < name(out[b]) })
	return out
}

// encodeList returns the canonical encoding of a section that is a list of items.
func encodeList[T any](list []T, name func(T) string) ([]byte, error) {
	return json.Marshal(sortedByName(list, name))
}
