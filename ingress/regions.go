package ingress

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// maxUnknownNames bounds the unknown names that are kept, and so logged, in the life of a process.
const maxUnknownNames = 1000

// unknownNames holds the unknown regions and availability zones that were logged. Only applyView
// uses it, of which one call runs at a time.
type unknownNames struct {
	logged map[string]struct{}
	// configuration is the last one whose regions were checked.
	configuration *catalog.Configuration
}

// addNew records the names of a kind and returns those that were not recorded before.
func (u *unknownNames) addNew(kind string, names []string) []string {
	return slices.DeleteFunc(names, func(name string) bool {
		key := kind + "/" + name
		if _, isLogged := u.logged[key]; isLogged || len(u.logged) >= maxUnknownNames {
			return true
		}
		u.logged[key] = struct{}{}
		return false
	})
}

// regionsOfZones returns the settings' regions of the availability zones, with that of the entry's
// own zone, which is a setting of its own.
func regionsOfZones(settings Settings) map[string]string {
	regions := maps.Clone(settings.Regions)
	if settings.Region == "" || regions[settings.AvailabilityZone] != "" {
		return regions
	}
	if regions == nil {
		regions = map[string]string{}
	}
	regions[settings.AvailabilityZone] = settings.Region
	return regions
}

// directoryRegion returns the region whose entries callers in a region and an availability zone must
// use, or an empty string if they may use all.
func (i *Ingress) directoryRegion(region, zone string) string {
	configuration := i.mirror.View().Configuration
	if configuration == nil || len(configuration.NamedRegions()) == 0 {
		return ""
	}
	if region == "" {
		return i.settings.Regions[zone]
	}
	return region
}

// reportUnknownRegions logs, once for each name, the regions of a new configuration that no
// availability zone has. No server is in such a region, so requests that may be served only there
// are refused.
func (i *Ingress) reportUnknownRegions(configuration *catalog.Configuration) {
	if configuration == nil || configuration == i.unknownNames.configuration {
		return
	}
	i.unknownNames.configuration = configuration
	known := slices.Collect(maps.Values(i.settings.Regions))
	unknown := slices.DeleteFunc(configuration.NamedRegions().Names(), func(name string) bool {
		return name != "" && slices.Contains(known, name)
	})
	if unknown = i.unknownNames.addNew("region", unknown); len(unknown) > 0 {
		i.log.Warn("unknown regions in the configuration", zap.Strings("regions", unknown), zap.Int64("version", configuration.Version))
	}
}

// reportUnknownZones logs, once for each name, the evacuated availability zones of a new view that
// are not in the settings and have no server. Their evacuation has no effect.
func (i *Ingress) reportUnknownZones(view *catalog.View) {
	if len(view.EvacuatedZones) == 0 || len(view.Servers) == 0 {
		return
	}
	known := maps.Clone(i.settings.Regions)
	if known == nil {
		known = map[string]string{}
	}
	for _, server := range view.Servers {
		known[server.AvailabilityZone] = ""
	}
	unknown := slices.DeleteFunc(slices.Sorted(maps.Keys(view.EvacuatedZones)), func(zone string) bool {
		_, isKnown := known[zone]
		return isKnown
	})
	if unknown = i.unknownNames.addNew("zone", unknown); len(unknown) > 0 {
		i.log.Warn("unknown zones evacuated", zap.Strings("zones", unknown))
	}
}
