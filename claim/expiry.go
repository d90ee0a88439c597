package claim

import "time"

// isOutsideWindow reports whether the key is too old or too far in the future at
// the log's time, so that a record for it has no effect.
func (t *Table) isOutsideWindow(key Key) bool {
	return t.isBeforeWindow(key) || key.CreatedAt().After(t.logTime.Add(t.settings.MaxClockSkew))
}

// isBeforeWindow reports whether the key is older than the window at the log's
// time.
func (t *Table) isBeforeWindow(key Key) bool {
	return key.CreatedAt().Before(t.logTime.Add(-t.settings.Window))
}

// mayBeForgotten reports whether the table may have evicted or missed claims of
// the key, so that the table cannot decide about a new claim of it.
func (t *Table) mayBeForgotten(key Key) bool {
	return t.isBeforeWindow(key) || !key.CreatedAt().After(t.floor)
}

// raiseFloor stops the table from deciding keys created up to the given time. It
// never lowers the floor.
func (t *Table) raiseFloor(floor time.Time) {
	if floor.After(t.floor) {
		t.floor = floor
	}
}

// getOrCreate returns the state of the key, adding a free key when the table
// has none.
func (t *Table) getOrCreate(key Key) *KeyInfo {
	info, ok := t.keys[key]
	if !ok {
		info = &KeyInfo{}
		t.keys[key] = info
		second := key.CreatedAt().Unix()
		t.keysBySecond[second] = append(t.keysBySecond[second], key)
		if len(t.keys) == 1 || second < t.oldestSecond {
			t.oldestSecond = second
		}
	}
	return info
}

// removeExpired removes the keys that are older than the window.
func (t *Table) removeExpired() {
	limit := t.logTime.Add(-t.settings.Window).Unix()
	for len(t.keys) > 0 && t.oldestSecond < limit {
		t.removeSecond(t.oldestSecond)
		t.oldestSecond++
	}
	for len(t.keysWithBody) > 0 && t.keys[t.keysWithBody[0]] == nil {
		t.keysWithBody = t.keysWithBody[1:]
	}
}

// enforceLimits keeps the table within MaxKeys and MaxBodyBytes. It evicts the
// oldest keys and rejects them from then on: a caller may lose the answer to a call
// with such a key, but the call never runs twice. It discards the bodies of the oldest
// outcomes.
func (t *Table) enforceLimits() {
	for len(t.keys) > t.settings.MaxKeys {
		t.removeSecond(t.oldestSecond)
		t.oldestSecond++
		t.raiseFloor(time.Unix(t.oldestSecond, 0))
	}
	for len(t.keysWithBody) > 0 && t.bodyBytes > t.settings.MaxBodyBytes {
		t.dropBody(t.keysWithBody[0])
		t.keysWithBody = t.keysWithBody[1:]
	}
}

// removeSecond removes the keys created in the given Unix second.
func (t *Table) removeSecond(second int64) {
	for _, key := range t.keysBySecond[second] {
		t.dropBody(key)
		delete(t.keys, key)
	}
	delete(t.keysBySecond, second)
}

// dropBody discards the body of a key's outcome and marks it as omitted.
func (t *Table) dropBody(key Key) {
	info, ok := t.keys[key]
	if !ok || len(info.Outcome.Body) == 0 {
		return
	}
	t.bodyBytes -= len(info.Outcome.Body)
	info.Outcome.Body = nil
	info.Outcome.Omitted = true
}
