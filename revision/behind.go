package revision

// IsBehind reports whether other has a higher revision of any section than own. Both
// hold revisions by section name, and a section that is missing has the revision 0.
func IsBehind(own, other map[string]int64) bool {
	for section, number := range other {
		if own[section] < number {
			return true
		}
	}
	return false
}
