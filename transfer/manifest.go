package transfer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/weights"
)

// Parameters of fetching a manifest.
const (
	// manifestRetryInterval is the pause after a request to each of the sources has failed,
	// before the sources are tried again.
	manifestRetryInterval = 200 * time.Millisecond
	// manifestTimeout is the timeout of a request to one agent, which may be frozen.
	manifestTimeout = 3 * time.Second
	// manifestPeersOnlyDuration is how long an agent requests the manifest from other
	// agents only, so that not every agent downloads it from the origin. It does not
	// apply to the gateway that imports the manifest into the region.
	manifestPeersOnlyDuration = 2 * time.Second
)

// fetchManifest fetches the manifest of a version from another agent or the origin
// and pins the version. It retries until ctx ends. It returns an error at once if a manifest
// with the right digest is malformed or the store can't pin the version.
func (t *Transfer) fetchManifest(ctx context.Context, target Target) (weights.Manifest, error) {
	start := time.Now()
	for {
		if version, ok := t.findVersion(target.Digest); ok {
			return version.manifest, nil
		}
		// The manifest is requested from the sources of the first chunk, chunk 0, and so
		// imported by the gateway of that chunk.
		plan := t.updatePlan(target.Digest)
		useOrigin := plan.IsGateway(t.options.Self.ID, 0) || time.Since(start) > manifestPeersOnlyDuration
		for _, source := range plan.Sources(t.options.Self.ID, 0) {
			if source.IsOrigin() && !useOrigin {
				continue
			}
			var encoded []byte
			var err error
			if source.IsOrigin() {
				encoded, err = t.options.Origin.Manifest(ctx, target.Path)
			} else {
				var status int
				encoded, status, err = t.getFromPeer(ctx, source.Address, manifestPath+target.Digest, manifestTimeout, weights.MaxManifestBytes, func(eventKind) {})
				if status != fasthttp.StatusOK {
					continue
				}
			}
			// A response with a wrong digest is treated like a failed request.
			if err != nil || weights.Digest(encoded) != target.Digest {
				continue
			}
			manifest, err := weights.ParseManifest(encoded)
			if err != nil {
				return weights.Manifest{}, errors.Wrap(err, "parse manifest")
			}
			return manifest, t.pinVersion(target.Digest, manifest, encoded)
		}
		if err := sleepContext(ctx, manifestRetryInterval); err != nil {
			return weights.Manifest{}, errors.Wrap(err, "fetch manifest")
		}
	}
}
