package scenario

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/engine"
)

const (
	// model and service are the names of the only model and of the only plain service of a
	// fleet.
	model   = "rounds"
	service = "booking"
	// defaultVersionBytes is the size of a model version, unless the script gives another
	// one, and adapterBytes the size of an adapter.
	defaultVersionBytes = 2 << 20
	adapterBytes        = 100 << 10
	// startTimeout is the time within which a fleet or a daemon must be ready.
	startTimeout = 20 * time.Second
)

// start starts one process or a whole fleet:
//
//	start fleet entries=2 agents=3 services=1 slots=4 token-time=5ms linked=true ...
//	start platform vm-list-lag=0s ...
//	start entry NAME region=REGION platform=LINK
//	start engine NAME slots=4 token-time=5ms crash-marker=TEXT ignore-fence=true
//	start service NAME delay=20ms
//	start link NAME target=PROCESS delay=1ms
//	start agent NAME engine=NAME or service=NAME region=REGION platform=LINK slots=8
//	    queue-limit=512
//	start again NAME        restarts an exited process with the settings that it had
//
// A fleet consists of the processes platform, entry-0, entry-1 and so on, an engine-N with
// its agent-N for each of the agents, and a service-N with its agent-service-N for each of
// the services. With linked=true its regions are connected by links that can fail.
//
// For platform, engine, service and link, the options are flags of the command standin:
//
//	vm-list-lag=DURATION    delay until a change appears in the VM list
//	token-time=DURATION     time in which an engine generates one token
//	crash-marker=TEXT       an engine exits when a prompt contains this text
//	ignore-fence=true       an engine executes orders with an outdated fencing token
//	delay=DURATION          duration of a call to a service, or the delay of a link in
//	                        each direction
func (s *State) start(args arguments) error {
	name := args.operand(1)
	switch args.operand(0) {
	case "fleet":
		return s.startFleet(args)
	case "platform":
		return s.bench.StartPlatform(toFlags(args)...)
	case "entry":
		return s.startEntry(name, args)
	case "engine":
		_, err := s.bench.StartEngine(name, toFlags(args)...)
		s.engines = append(s.engines, name)
		return err
	case "service":
		_, err := s.bench.StartService(name, toFlags(args)...)
		return err
	case "link":
		target, err := s.bench.Process(args.stringOption("target", ""))
		if err != nil {
			return err
		}
		delete(args.options, "target")
		_, err = s.bench.StartLink(name, target.Address, toFlags(args)...)
		return err
	case "agent":
		return s.startAgent(name, args)
	case "again":
		process, err := s.findProcess(name)
		if err != nil {
			return err
		}
		_, err = s.bench.Restart(process.Name)
		return err
	default:
		return errors.New("unknown kind of process")
	}
}

// toFlags converts all options to command-line flags of the command standin.
func toFlags(args arguments) []string {
	var flags []string
	for key, value := range args.options {
		flags = append(flags, "--"+key+"="+value)
	}
	return flags
}

// startEntry starts an entry with the options of "start entry".
func (s *State) startEntry(name string, args arguments) error {
	place, err := s.readPlacement(&args)
	if err != nil {
		return err
	}
	if err := args.check(); err != nil {
		return err
	}
	process, err := s.bench.StartEntry(s.ctx, name, place)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, name)
	s.entryAddresses = append(s.entryAddresses, process.Address)
	return nil
}

// startAgent starts an agent with the options of "start agent". The engine or service that
// the agent serves must have been started before.
func (s *State) startAgent(name string, args arguments) error {
	place, err := s.readPlacement(&args)
	if err != nil {
		return err
	}
	serverName := args.stringOption("engine", args.stringOption("service", ""))
	slots := args.intOption("slots", settings.DefaultSlots)
	queue := args.intOption("queue-limit", settings.DefaultQueueLimit)
	if err := args.check(); err != nil {
		return err
	}
	server, err := s.bench.Process(serverName)
	if err != nil {
		return err
	}
	_, err = s.bench.StartAgent(s.ctx, name, place, func(agent *settings.Agent) {
		agent.Slots, agent.QueueLimit = slots, queue
		if args.options["engine"] != "" {
			agent.EngineAddress = server.Address
		} else {
			agent.Backend, agent.Service = server.Address, service
		}
	})
	s.agents = append(s.agents, name)
	return err
}

// readPlacement reads the options region=NAME, the region in which a daemon runs, by default
// the first one, and platform=LINK, the link through which it reaches the platform, by
// default that of the region if there is one.
func (s *State) readPlacement(args *arguments) (bench.Placement, error) {
	region := args.stringOption("region", regions[0].Name)
	place := bench.Placement{Region: region, AvailabilityZone: region + "-a", BehindLinks: s.hasLinks, Platform: s.platformLinks[region]}
	if link := args.stringOption("platform", ""); link != "" {
		process, err := s.bench.Process(link)
		if err != nil {
			return place, err
		}
		place.Platform = process.Address
	}
	return place, nil
}

// startFleet starts a fleet, see start, and publishes a configuration with one model. It
// returns when every entry sees enough servers with the model version, and all services,
// as ready. The option replicas is the number of engines that load the version, by default
// all.
func (s *State) startFleet(args arguments) error {
	entries, agents := args.intOption("entries", 2), args.intOption("agents", 3)
	services := args.intOption("services", 0)
	platformFlags := []string{"--vm-list-lag=" + args.stringOption("vm-list-lag", "200ms")}
	for _, key := range []string{"origin-bytes-per-second", "keep-records"} {
		if value := args.stringOption(key, ""); value != "" {
			platformFlags = append(platformFlags, "--"+key+"="+value)
		}
	}
	slots := args.stringOption("slots", "4")
	engineFlags := []string{"--slots=" + slots, "--token-time=" + args.stringOption("token-time", "5ms")}
	for _, key := range []string{"crash-marker", "ignore-fence"} {
		if value := args.stringOption(key, ""); value != "" {
			engineFlags = append(engineFlags, "--"+key+"="+value)
		}
	}
	serviceSlots := args.stringOption("service-slots", strconv.Itoa(settings.DefaultSlots))
	serviceDelay, queueLimit := args.stringOption("delay", "20ms"), args.stringOption("queue-limit", "512")
	s.hasLinks = args.stringOption("linked", "") == "true"
	replicas := args.intOption("replicas", agents)
	if err := args.check(); err != nil {
		return err
	}
	if err := s.bench.StartPlatform(platformFlags...); err != nil {
		return err
	}
	if s.hasLinks {
		if err := s.createPlatformLinks(); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := s.startEntry(fmt.Sprintf("entry-%d", i), parseArguments([]string{"region=" + regionName(i)})); err != nil {
			return err
		}
	}
	for i := range agents {
		name := fmt.Sprintf("engine-%d", i)
		if _, err := s.bench.StartEngine(name, engineFlags...); err != nil {
			return err
		}
		s.engines = append(s.engines, name)
		options := []string{"region=" + regionName(i), "engine=" + name, "slots=" + slots, "queue-limit=" + queueLimit}
		if err := s.startAgent(fmt.Sprintf("agent-%d", i), parseArguments(options)); err != nil {
			return err
		}
	}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		if _, err := s.bench.StartService(name, "--delay="+serviceDelay); err != nil {
			return err
		}
		options := []string{"region=" + regionName(i), "service=" + name, "slots=" + serviceSlots}
		if err := s.startAgent(fmt.Sprintf("agent-service-%d", i), parseArguments(options)); err != nil {
			return err
		}
	}
	return s.publishFirstDocument(replicas, services)
}

// createPlatformLinks starts, for each region, the link through which the daemons of the
// region reach the platform.
func (s *State) createPlatformLinks() error {
	for _, region := range regions {
		address, err := s.bench.StartPlatformLink(region.Name)
		if err != nil {
			return err
		}
		s.platformLinks[region.Name] = address
	}
	return nil
}

// regionName returns the region of the i-th process of a kind, so that the processes of a
// kind are distributed evenly over the regions.
func regionName(i int) string { return regions[i%len(regions)].Name }

// publishFirstDocument publishes a configuration document with two workspaces, the plain
// service and the model version v1, and waits until every entry is ready and sees at least
// the given numbers of replicas of the version and of servers of the plain service.
func (s *State) publishFirstDocument(replicas, services int) error {
	s.document = s.bench.NewDocument(regions...)
	for _, workspace := range []string{"mopa", "ibarrola"} {
		s.document.AddWorkspace(workspace, 1)
	}
	s.document.AddService(service)
	digest, err := s.document.AddVersion(s.ctx, model, "v1", defaultVersionBytes, replicas)
	if err != nil {
		return err
	}
	s.identifiers["v1"] = digest
	if err := s.document.Publish(s.ctx); err != nil {
		return err
	}
	for _, entry := range s.entries {
		if err := s.bench.AwaitReady(s.ctx, entry, startTimeout); err != nil {
			return err
		}
		if err := s.bench.AwaitServing(s.ctx, entry, model, digest, replicas, startTimeout); err != nil {
			return err
		}
		if err := s.bench.AwaitServing(s.ctx, entry, service, "", services, startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// platform injects faults into the platform, or marks a VM as leaving in its VM list:
//
//	platform log=MODE           up, down, slow (see log-delay-ms), or lose-answers: the
//	                            responses to appends are lost
//	platform origin=MODE        up, down, or corrupt (see corrupt-per-mille)
//	platform log-delay-ms=N     the delay of the responses of a slow log
//	platform lose-next=N        the responses to the next N appends are lost
//	platform corrupt-per-mille=N  the share of chunks that a corrupt origin damages
//	platform vm-list-lag-ms=N   the delay until a change appears in the VM list
//	platform leave ENTRY
//	platform leave AGENT server=ENGINE
func (s *State) platform(args arguments) error {
	if args.operand(0) == "leave" {
		return s.markLeaving(&args)
	}
	faults := map[string]any{}
	for _, key := range []string{"log", "origin"} {
		if value := args.stringOption(key, ""); value != "" {
			faults[key] = value
		}
	}
	for _, key := range []string{"log-delay-ms", "lose-next", "corrupt-per-mille", "vm-list-lag-ms"} {
		if _, ok := args.options[key]; ok {
			faults[key] = args.intOption(key, 0)
		}
	}
	if err := args.check(); err != nil {
		return err
	}
	return s.bench.SetPlatformFaults(s.ctx, faults)
}

// engine injects faults into the next orders that an engine executes. An order is a request
// of the agent to load or unload a version or adapter, or to change the role. fail-loads is
// the number of loads that fail, lose-answers the number of orders whose response is lost
// after the order took effect:
//
//	engine NAME fail-loads=1 lose-answers=2
func (s *State) engine(args arguments) error {
	server, err := s.findProcess(args.operand(0))
	if err != nil {
		return err
	}
	faults := engine.Faults{FailCommits: args.intOption("fail-loads", 0), DropResponses: args.intOption("lose-answers", 0)}
	if err := args.check(); err != nil {
		return err
	}
	return bench.SendJSON(s.ctx, http.MethodPost, server.Address+"/faults", faults, nil)
}

// markLeaving marks the VM of an entry or agent as leaving in the VM list. The option server
// names the engine or service of the agent, so that the checker can report requests that
// start there too late.
func (s *State) markLeaving(args *arguments) error {
	daemon, err := s.findProcess(args.operand(1))
	if err != nil {
		return err
	}
	server := args.stringOption("server", "")
	if err := args.check(); err != nil {
		return err
	}
	if err := s.bench.MarkLeaving(s.ctx, daemon.Name); err != nil || server == "" {
		return err
	}
	process, err := s.findProcess(server)
	if err != nil {
		return err
	}
	s.bench.RecordLeaving(process.Name)
	return nil
}

// publish publishes a change of the configuration:
//
//	publish version NAME bytes=N replicas=N  add a version of the model, and make it
//	                                         the live one: the one that serves calls
//	publish live NAME                        make an earlier version the live one
//	publish adapter NAME version=VERSION     add an adapter, by default for the live
//	                                         version; its name in the script is
//	                                         NAME/VERSION
//	publish no-adapters                      remove all adapters
//	publish roles AGENT=ROLE…                set the roles of these agents' engines, and
//	                                         the role "both" for all others
//	publish workspace NAME                   add a workspace
//	publish race editors=N                   publish N concurrent edits of one section,
//	                                         of which exactly one must be accepted
func (s *State) publish(args arguments) error {
	name := args.operand(1)
	switch args.operand(0) {
	case "version":
		bytes, replicas := args.intOption("bytes", defaultVersionBytes), args.intOption("replicas", s.document.Models.Models[0].Replicas)
		if err := args.check(); err != nil {
			return err
		}
		digest, err := s.document.AddVersion(s.ctx, model, name, int64(bytes), replicas)
		if err != nil {
			return err
		}
		s.identifiers[name] = digest
		return s.document.Publish(s.ctx, document.SectionModels)
	case "live":
		s.document.Models.Models[0].Live = name
		return s.document.Publish(s.ctx, document.SectionModels)
	case "adapter":
		version := args.stringOption("version", s.document.Models.Models[0].Live)
		identity, err := s.document.AddAdapter(s.ctx, model, version, name, adapterBytes)
		if err != nil {
			return err
		}
		s.identifiers[name+"/"+version] = identity
		return s.document.Publish(s.ctx, document.SectionModels)
	case "no-adapters":
		s.document.Models.Models[0].Adapters = nil
		return s.document.Publish(s.ctx, document.SectionModels)
	case "roles":
		s.document.Servers.Servers = nil
		for agent, role := range args.options {
			s.document.Servers.Servers = append(s.document.Servers.Servers, document.Server{ID: agent, Role: fuchsiarouter.Role(role)})
		}
		return s.document.Publish(s.ctx, document.SectionServers)
	case "workspace":
		s.document.AddWorkspace(name, 1)
		return s.document.Publish(s.ctx, document.SectionWorkspaces)
	case "race":
		return s.publishConcurrently(args.intOption("editors", 5))
	default:
		return errors.New("unknown kind of publication")
	}
}
