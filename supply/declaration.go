package supply

import "time"

// Declaration is what a loader knows of the declaration of a version.
type Declaration struct {
	// DeclaredAt is the earliest boot time at which the version may have been declared. Loaders of
	// different zones may know different times.
	DeclaredAt time.Duration
	// LearntAt is the boot time at which the loader learnt of the version.
	LearntAt time.Duration
}

// IsSupersededBy reports whether the fetch of the version is to be abandoned for a newer one: that
// one was declared within the window after it, or the loader has learnt of it within the window, so
// that little is lost.
func (d Declaration) IsSupersededBy(newer Declaration, window time.Duration) bool {
	return newer.DeclaredAt-d.DeclaredAt < window || newer.LearntAt-d.LearntAt < window
}
