package workload

import (
	"math"
	"slices"
	"time"
)

const (
	// paceMemory is the time constant with which a reported pace loses its weight to the mean of
	// the earlier ones. A machine is slow for about 0.6 s at a time.
	paceMemory = 400 * time.Millisecond
	// paceSmoothing is the weight of a reported pace in the mean.
	paceSmoothing = 0.05
	// paceWeight is the weight of a reported pace in the one that is expected next. The figure
	// changes many times a second: if it deviates by 0.8 of itself, half the weight is better.
	paceWeight = 0.5
	// factorSmoothing is the weight of a measured time in the factor of a server, which differs
	// from one by tenths for a server that is always slower.
	factorSmoothing = 0.06
	// minFactor and maxFactor bound the factor, so that a few measured times of a server that
	// stood still do not keep requests away from it, and minPace and maxPace a reported pace.
	minFactor = 0.5
	maxFactor = 3.0
	minPace   = 0.2
	maxPace   = 20.0
	// factorMemory is the time constant with which the factor of a server without measured times
	// returns to one, so that a server that was avoided for its factor is tried again.
	factorMemory = 20 * time.Second
	// countMemory is how long a load in a response is used in place of the counts of the other
	// entries, which are 150 to 450 ms old.
	countMemory = 200 * time.Millisecond
	// unbegunShare is the share of the prompt of a request of another entry that has not begun
	// which is still to be read, on average.
	unbegunShare = 0.6
	// fullSlotWait is the part of the mean time between two ends of requests for which a request
	// waits at a server whose slots are counted as in use. Some have become free meanwhile, which
	// the counts show later.
	fullSlotWait = 0.5
	// maxOverdue bounds, in ms, the time by which a request without a first event is late at a
	// server that counts against the server.
	maxOverdue = 1000
)

// Send is a request of this entry at a server that has not begun.
type Send struct {
	// Request identifies the request.
	Request any
	// Reading is the time in ms to read the prompt, Predicted the predicted time to the first
	// event.
	Reading   float64
	Predicted time.Duration
	// SentAt is when the request was assigned to the server.
	SentAt time.Time
}

// Server is what an entry knows of the work at one engine. The zero value is an engine without
// requests.
type Server struct {
	// sends holds the requests of this entry that have not begun.
	sends []Send
	// pace is the average of the last reported paces, meanPace that of more of them, and paceAt when
	// the last one arrived, zero without any.
	pace, meanPace float64
	paceAt         time.Time
	// factor is measured over predicted times to the first event, 0 without any.
	factor   float64
	factorAt time.Time
	// elsewhere is the number of requests of other entries by the last load in a response.
	elsewhere   int
	elsewhereAt time.Time
}

// Clone returns a copy that can be changed independently.
func (s *Server) Clone() Server {
	copied := *s
	copied.sends = slices.Clone(s.sends)
	return copied
}

// Add records that a request was assigned to the server.
func (s *Server) Add(send Send) { s.sends = append(s.sends, send) }

// Remove removes a request that has begun or ended. It returns what Add recorded, or false if the
// request is not there.
func (s *Server) Remove(request any) (Send, bool) {
	for i := range s.sends {
		if s.sends[i].Request == request {
			send := s.sends[i]
			last := len(s.sends) - 1
			copy(s.sends[i:], s.sends[i+1:])
			s.sends[last] = Send{}
			s.sends = s.sends[:last]
			return send, true
		}
	}
	return Send{}, false
}

// Unbegun returns the number of requests of this entry at the server that have not begun.
func (s *Server) Unbegun() int { return len(s.sends) }

// RecordLoad records the load in a response: the requests of other entries at the server, and the
// pace, 0 if it was not reported.
func (s *Server) RecordLoad(now time.Time, elsewhere int, pace float64) {
	s.elsewhere, s.elsewhereAt = max(elsewhere, 0), now
	if !(pace > 0) {
		return
	}
	pace = min(max(pace, minPace), maxPace)
	expected := s.Pace(now)
	if s.paceAt.IsZero() {
		s.meanPace, expected = pace, pace
	}
	s.meanPace += paceSmoothing * (pace - s.meanPace)
	s.pace, s.paceAt = expected+paceWeight*(pace-expected), now
}

// Pace returns the expected time of work at the server in relation to the usual one.
func (s *Server) Pace(now time.Time) float64 {
	if s.paceAt.IsZero() {
		return 1
	}
	return s.meanPace + (s.pace-s.meanPace)*math.Exp(-now.Sub(s.paceAt).Seconds()/paceMemory.Seconds())
}

// RecordFirstEvent corrects the factor of the server by a measured time to the first event.
func (s *Server) RecordFirstEvent(now time.Time, predicted, took time.Duration) {
	if predicted <= 0 || took < 0 {
		return
	}
	factor := s.Factor(now)
	// The bounds keep one response of a server that stood still from outweighing all others.
	ratio := min(max(float64(took)/float64(predicted), 0.25), 3)
	s.factor = min(max(factor*(1+factorSmoothing*(ratio-1)), minFactor), maxFactor)
	s.factorAt = now
}

// Factor returns the expected ratio of measured to modelled times at the server.
func (s *Server) Factor(now time.Time) float64 {
	if s.factorAt.IsZero() {
		return 1
	}
	return 1 + (s.factor-1)*math.Exp(-now.Sub(s.factorAt).Seconds()/factorMemory.Seconds())
}

// Elsewhere returns the number of requests of other entries at the server, by the last load in a
// response if that is newer than the reported count is old.
func (s *Server) Elsewhere(now time.Time, reported int) int {
	if !s.elsewhereAt.IsZero() && now.Sub(s.elsewhereAt) < countMemory {
		return s.elsewhere
	}
	return reported
}

// Prediction is the result of Predict, in milliseconds.
type Prediction struct {
	// FirstEvent is the time from sending the request to the first event of its response.
	FirstEvent float64
	// Pause is the time between two events of a response while the request is read.
	Pause float64
}

// Predict predicts the times of a further request, whose prompt takes the given time to read, at a
// server with local requests of this entry and elsewhere of the others.
func (m *Model) Predict(now time.Time, s *Server, local, elsewhere int, reading float64) Prediction {
	count := float64(local + elsewhere)
	busy := min(count, m.Slots)
	pass := m.pass(busy)
	// Of the requests of others, those have not begun which are in the share of their stay that
	// precedes the first event. Their number is not known, only their mean.
	firstShare := min((m.meanReading+pass)/(m.meanStay*(busy+1)/(m.Slots+1)+m.meanReading+pass), 1)
	backlog := float64(elsewhere) * firstShare * unbegunShare * m.meanReading
	overdue := 0.0
	for i := range s.sends {
		send := &s.sends[i]
		elapsed := milliseconds(now.Sub(send.SentAt))
		predicted := max(milliseconds(send.Predicted), 1)
		backlog += send.Reading * max(1-elapsed/predicted, 0.2)
		overdue = max(overdue, elapsed-1.5*predicted)
	}
	slotWait := 0.0
	if count >= m.Slots {
		slotWait = (count - m.Slots + fullSlotWait) * m.meanStay / m.Slots
	}
	speed := s.Pace(now) * s.Factor(now)
	wait := pass / 2
	if count == 0 {
		wait = 0
	}
	return Prediction{
		FirstEvent: speed*(wait+slotWait+backlog+reading+m.pass(min(count+1, m.Slots))) + min(max(overdue, 0), maxOverdue),
		Pause:      speed * (pass + backlog + reading),
	}
}

// MinFirstEvent returns the time in ms from sending a request to the first event of its response at
// an idle server of the usual pace.
func (m *Model) MinFirstEvent(reading float64) float64 { return reading + m.pass(1) }

// Urgency returns the value from 0 to 9 that tells an engine which requests to admit first. Each
// rank below maxRanks has a range of its own, so that no request passes one of a more urgent rank.
// Within the range, requests with short prompts go first, unless the request has already been
// passed over for as long as it may.
func (m *Model) Urgency(rank int, reading float64, passedOver bool) int {
	if rank >= maxRanks {
		return 9
	}
	within := 1
	switch {
	case passedOver || reading < shortShare*m.meanReading:
		within = 0
	case reading > longShare*m.meanReading:
		within = urgenciesPerRank - 1
	}
	return max(rank, 0)*urgenciesPerRank + within
}

// The ranks in use are 0 to 2, and urgencies 0 to 9. A prompt is short or long if it takes less or
// more than these shares of the mean time to read; about a third of the prompts are of each kind
// if the deviation is as large as the mean.
const (
	maxRanks         = 3
	urgenciesPerRank = 3
	shortShare       = 0.5
	longShare        = 1.2
)
