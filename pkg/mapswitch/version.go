package mapswitch

// Under each fencing token, versions below firstAbandonable belong to maps of releases that could
// not abandon a switch. From there on even versions belong to maps, and each odd one stands for the
// abandoned switch to the version before it.
const (
	versionsPerFencingToken = 1_000_000
	firstAbandonable        = 500_000
)

// VersionOf returns the version of the n-th map that the leader with a fencing token plans.
func VersionOf(fencingToken, n int64) int64 {
	return fencingToken*versionsPerFencingToken + firstAbandonable + 2*n
}

// canAbandon reports whether the switch to a version can be abandoned.
func canAbandon(version int64) bool {
	return version != None && version%versionsPerFencingToken >= firstAbandonable && version%2 == 0
}

// abandonedVersion returns the version with which a rank gives up the switch to a version.
func abandonedVersion(version int64) int64 { return version + 1 }

func isAbandoned(version int64) bool { return version > 0 && canAbandon(version-1) }

// IsAbandon reports whether an order gives up a switch. Such an order is safe from any sender.
func (o Order) IsAbandon() bool { return o.Op == Prepare && isAbandoned(o.Version) }
