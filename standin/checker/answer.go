package checker

import (
	"slices"
	"strings"

	"github.com/fuchsiarouter/fuchsiarouter/standin/engine"
)

// tokenSource is the ID of the call, the digest of the model version and the token index for
// which the stand-in engine generates a certain token.
type tokenSource struct {
	call   string
	digest string
	index  int
}

// checkModelAnswer checks that all events of a complete answer belong to the attempt and
// name the same published version, that the tokens are those of this version, and that a
// backend server started the attempt.
func (c *checkState) checkModelAnswer(call Call, attempt Attempt) {
	for _, id := range attempt.IDs {
		if id != attempt.RequestID {
			c.report(SwappedAnswer, call.ID, "attempt %s got events of request %s", attempt.RequestID, id)
		}
	}
	if len(attempt.Fingerprints) > 1 {
		c.report(MixedVersions, call.ID, "events name versions %s", strings.Join(attempt.Fingerprints, ", "))
		return
	}
	if len(attempt.Fingerprints) == 1 && attempt.Fingerprints[0] != attempt.Version {
		c.report(MixedVersions, call.ID, "the header names version %q, the events %q", attempt.Version, attempt.Fingerprints[0])
		return
	}
	if !slices.Contains(c.history.Digests[call.Model], attempt.Version) {
		c.report(MixedVersions, call.ID, "version %q was never published for model %s", attempt.Version, call.Model)
		return
	}
	c.checkTokens(call, attempt)
	runs := c.runsByRequest[attempt.RequestID]
	if len(runs) == 0 {
		c.report(MissingRun, call.ID, "attempt %s was answered but never ran", attempt.RequestID)
	}
}

// checkTokens compares the tokens of an answer with those that the version named in the
// answer generates for the call.
func (c *checkState) checkTokens(call Call, attempt Attempt) {
	tokens := strings.Fields(attempt.Text)
	for index, token := range tokens {
		if token == strings.TrimSpace(engine.Token(attempt.Version, call.Prompt, index)) {
			continue
		}
		c.reportWrongToken(call, attempt, index, token)
		return
	}
	switch {
	case len(tokens) < call.Tokens:
		c.report(CutAnswer, call.ID, "%d of %d tokens before the end marker", len(tokens), call.Tokens)
	case len(tokens) > call.Tokens:
		c.report(CutAnswer, call.ID, "%d tokens, %d were requested", len(tokens), call.Tokens)
	}
}

// reportWrongToken reports that the token at the index of an answer is wrong. Which promise
// that breaks depends on the call, version and index for which the engine generates the
// token.
func (c *checkState) reportWrongToken(call Call, attempt Attempt, index int, token string) {
	source, known := c.findTokenSource(token)
	switch {
	case known && source.call != call.ID:
		c.report(SwappedAnswer, call.ID, "token %d belongs to call %s", index, source.call)
	case known && source.digest != attempt.Version:
		c.report(MixedVersions, call.ID, "token %d is of version %s, the answer of %s", index, source.digest, attempt.Version)
	case known:
		c.report(CutAnswer, call.ID, "token %d is at position %d", source.index, index)
	default:
		c.report(MixedVersions, call.ID, "token %d belongs to no published version", index)
	}
}

// findTokenSource looks up a token among the tokens that any published version generates for
// any call of the history. It builds the index of these tokens on first use.
func (c *checkState) findTokenSource(token string) (tokenSource, bool) {
	if c.tokenSources == nil {
		c.tokenSources = map[string]tokenSource{}
		for _, call := range c.history.Calls {
			for _, digest := range c.history.Digests[call.Model] {
				for index := range call.Tokens {
					expected := strings.TrimSpace(engine.Token(digest, call.Prompt, index))
					c.tokenSources[expected] = tokenSource{call.ID, digest, index}
				}
			}
		}
	}
	source, ok := c.tokenSources[token]
	return source, ok
}
