package document

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Validate checks the values within and across sections. A section that was never
// published has schema 0 and is not checked, so that sections can be published one
// after the other; Parse rejects a text without a schema. The error is of type
// InvalidError and lists all problems in the values.
func (d Document) Validate() error { return d.check().orNil() }

// check returns the problems in the values of all published sections.
func (d Document) check() InvalidError {
	var problems InvalidError
	run := func(section Section, schema int, check func(*checker)) {
		if schema == 0 {
			return
		}
		c := &checker{section: section}
		check(c)
		problems = append(problems, c.problems...)
	}
	run(SectionFleet, d.Fleet.Schema, d.Fleet.check)
	run(SectionOwners, d.Owners.Schema, d.Owners.check)
	run(SectionModels, d.Models.Schema, d.Models.check)
	run(SectionRanks, d.Ranks.Schema, d.Ranks.check)
	run(SectionWorkspaces, d.Workspaces.Schema, d.Workspaces.check)
	run(SectionServices, d.Services.Schema, d.Services.check)
	run(SectionPeaks, d.Peaks.Schema, func(c *checker) { d.Peaks.check(c, d.Models) })
	run(SectionServers, d.Servers.Schema, d.Servers.check)
	return problems
}

func (f Fleet) check(c *checker) {
	regions, zones := map[string]string{}, map[string]string{}
	c.require(len(f.Regions) > 0, "regions", "at least one region", "no region")
	for i, region := range f.Regions {
		key := fmt.Sprintf("regions[%d]", i)
		c.checkName(key+".name", region.Name)
		c.checkUnique(regions, key+".name", region.Name)
		c.require(len(region.AvailabilityZones) > 0, key+".availability-zones", "at least one zone", "no zone")
		for j, zone := range region.AvailabilityZones {
			zoneKey := fmt.Sprintf("%s.availability-zones[%d]", key, j)
			c.checkName(zoneKey, zone)
			c.checkUnique(zones, zoneKey, zone)
		}
	}
	if _, ok := regions[f.StoreRegion]; !ok {
		c.addProblem("store-region", "the name of a region", "region %.80q", f.StoreRegion)
	}
	c.checkRange("window-s", f.WindowSeconds, 1, 24*60*60)
	c.checkRange("drain-deadline-s", f.DrainDeadlineSeconds, 1, 24*60*60)
	c.checkRange("claim-window-s", f.ClaimWindowSeconds, 1, 7*24*60*60)
}

func (o Owners) check(c *checker) {
	teams := map[string]string{}
	owned := false
	for i, owner := range o.Owners {
		key := fmt.Sprintf("owners[%d]", i)
		c.checkName(key+".team", owner.Team)
		c.checkUnique(teams, key+".team", owner.Team)
		sections := map[string]string{}
		for j, section := range owner.Sections {
			sectionKey := fmt.Sprintf("%s.sections[%d]", key, j)
			c.require(slices.Contains(Sections(), section), sectionKey, allowedSections(), "section %.80q", section)
			c.checkUnique(sections, sectionKey, string(section))
		}
		c.require(len(owner.Keys) > 0, key+".keys", "at least one key", "no key")
		keys := map[string]string{}
		for j, public := range owner.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", key, j)
			c.checkHex(keyPath, public, 32, "Ed25519 public key")
			c.checkUnique(keys, keyPath, public)
		}
		owned = owned || slices.Contains(owner.Sections, SectionOwners)
	}
	// Without an owner of the section owners, nobody could change an owner any more.
	c.require(owned, "owners", "an owner of the section owners", "nobody owns the section owners")
}

func (m Models) check(c *checker) {
	models := map[string]string{}
	for i, model := range m.Models {
		key := fmt.Sprintf("models[%d]", i)
		c.checkName(key+".name", model.Name)
		c.checkUnique(models, key+".name", model.Name)
		c.checkRange(key+".replicas", model.Replicas, 0, 100_000)
		versions, digests := map[string]string{}, map[string]string{}
		for j, version := range model.Versions {
			versionKey := fmt.Sprintf("%s.versions[%d]", key, j)
			c.checkName(versionKey+".name", version.Name)
			c.checkUnique(versions, versionKey+".name", version.Name)
			c.checkHex(versionKey+".digest", version.Digest, 32, "blake3 digest")
			c.checkUnique(digests, versionKey+".digest", version.Digest)
			c.checkPath(versionKey+".path", version.Path)
		}
		adapters := map[string]string{}
		for j, adapter := range model.Adapters {
			adapterKey := fmt.Sprintf("%s.adapters[%d]", key, j)
			c.checkName(adapterKey+".name", adapter.Name)
			c.checkUnique(adapters, adapterKey+".name", adapter.Name+" on "+adapter.Version)
			if _, ok := versions[adapter.Version]; !ok {
				c.addProblem(adapterKey+".version", "the name of one of the model's versions", "version %.80q", adapter.Version)
			}
			c.checkHex(adapterKey+".digest", adapter.Digest, 32, "blake3 digest")
			c.checkUnique(digests, adapterKey+".digest", adapter.Digest)
			c.checkPath(adapterKey+".path", adapter.Path)
		}
		if _, ok := model.LiveVersion(); !ok {
			c.addProblem(key+".live", "the name of one of the model's versions", "version %.80q", model.Live)
		}
	}
}

func (r Ranks) check(c *checker) {
	ranks := map[string]string{}
	sum := 0.0
	for i, rank := range r.Ranks {
		key := fmt.Sprintf("ranks[%d]", i)
		c.checkRank(key+".name", rank.Name)
		c.checkUnique(ranks, key+".name", string(rank.Name))
		c.require(rank.Floor >= 0 && rank.Floor <= 1, key+".floor", "0 to 1", "floor %v", rank.Floor)
		c.checkRange(key+".first-token-ms", rank.FirstTokenMilliseconds, 0, 24*60*60*1000)
		sum += rank.Floor
	}
	c.require(len(r.Ranks) == len(RankNames()), "ranks", allowedRanks+", each once", "%d ranks", len(r.Ranks))
	// Floors such as 0.1, 0.2 and 0.7 have a binary sum slightly above 1.
	c.require(math.IsNaN(sum) || sum <= 1+1e-9, "ranks", "floors with a sum of at most 1", "the floors sum to %.4g", sum)
}

func (w Workspaces) check(c *checker) {
	workspaces, tokens := map[string]string{}, map[string]string{}
	for i, workspace := range w.Workspaces {
		key := fmt.Sprintf("workspaces[%d]", i)
		c.checkName(key+".name", workspace.Name)
		c.checkUnique(workspaces, key+".name", workspace.Name)
		c.checkHex(key+".token-hash", workspace.TokenHash, 32, "SHA-256 hash")
		c.checkUnique(tokens, key+".token-hash", workspace.TokenHash)
		c.require(workspace.Weight == 0 || workspace.Weight >= MinWeight && workspace.Weight <= MaxWeight,
			key+".weight", "0, or 0.001 to 1000", "weight %v", workspace.Weight)
		c.checkAmount(key+".requests-per-second", workspace.RequestsPerSecond)
		c.checkAmount(key+".tokens-per-second", workspace.TokensPerSecond)
		c.checkRange(key+".burst", workspace.Burst, 0, 1_000_000_000)
		c.checkRange(key+".in-progress", workspace.InProgress, 0, 1_000_000_000)
		c.require(len(workspace.Ranks) > 0, key+".ranks", allowedRanks, "no rank")
		ranks := map[string]string{}
		for j, rank := range workspace.Ranks {
			rankKey := fmt.Sprintf("%s.ranks[%d]", key, j)
			c.checkRank(rankKey, rank)
			c.checkUnique(ranks, rankKey, string(rank))
		}
		if workspace.DefaultRank != "" && !slices.Contains(workspace.Ranks, workspace.DefaultRank) {
			c.addProblem(key+".default-rank", "one of the workspace's ranks", "rank %.80q", workspace.DefaultRank)
		}
	}
}

// httpMethods are the methods that a rule for idempotent calls may have.
var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (s Services) check(c *checker) {
	services := map[string]string{}
	for i, service := range s.Services {
		key := fmt.Sprintf("services[%d]", i)
		c.checkName(key+".name", service.Name)
		c.checkUnique(services, key+".name", service.Name)
		if service.Rank != "" {
			c.checkRank(key+".rank", service.Rank)
		}
		for j, rule := range service.Idempotent {
			ruleKey := fmt.Sprintf("%s.idempotent[%d]", key, j)
			c.require(slices.Contains(httpMethods, rule.Method), ruleKey+".method", strings.Join(httpMethods, ", "), "method %.80q", rule.Method)
			c.require(strings.HasPrefix(rule.Prefix, "/"), ruleKey+".prefix", "a path that starts with /", "prefix %.80q", rule.Prefix)
		}
	}
}

// timeOfDayLayout is the layout of the times of the day in a peak.
const timeOfDayLayout = "15:04"

func (p Peaks) check(c *checker, models Models) {
	peaks := map[string]string{}
	for i, peak := range p.Peaks {
		key := fmt.Sprintf("peaks[%d]", i)
		if _, ok := models.FindModel(peak.Model); !ok {
			c.addProblem(key+".model", "the name of a model of the section models", "model %.80q", peak.Model)
		}
		c.checkTimeOfDay(key+".from", peak.From)
		c.checkTimeOfDay(key+".until", peak.Until)
		c.require(peak.From != peak.Until, key+".until", "another time than from", "an empty interval")
		c.checkRange(key+".replicas", peak.Replicas, 1, 100_000)
		c.checkUnique(peaks, key, peak.Model+" "+peak.From+" "+peak.Until)
	}
}

// checkTimeOfDay checks that the text is a time of the day, as in 07:30.
func (c *checker) checkTimeOfDay(key, text string) {
	_, err := time.Parse(timeOfDayLayout, text)
	c.require(err == nil && len(text) == len(timeOfDayLayout), key, "a time of the day in UTC, 00:00 to 23:59", "time %.80q", text)
}

func (s Servers) check(c *checker) {
	servers, roles := map[string]string{}, map[fuchsiarouter.Role]bool{}
	for i, server := range s.Servers {
		key := fmt.Sprintf("servers[%d].id", i)
		c.require(server.ID != "" && len(server.ID) <= 64, key, "1 to 64 characters", "ID %.80q", server.ID)
		c.checkUnique(servers, key, server.ID)
		known := slices.Contains([]fuchsiarouter.Role{"", fuchsiarouter.RoleBoth, fuchsiarouter.RolePrefill, fuchsiarouter.RoleDecode}, server.Role)
		c.require(known, fmt.Sprintf("servers[%d].role", i), "both, prefill, decode", "role %.80q", server.Role)
		roles[server.Role] = true
	}
	c.require(roles[fuchsiarouter.RolePrefill] == roles[fuchsiarouter.RoleDecode], "servers",
		"servers with the role prefill and servers with the role decode, or none of both", "only one of the roles prefill and decode")
}
