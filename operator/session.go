package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

// maxReadRecords is the maximum number of records in one read of the log.
const maxReadRecords = 256

// session holds the connections, flags and configuration state of one run of a command.
type session struct {
	*Client
	// log and vmList are nil if the flag --platform is not given.
	log         fuchsiarouter.Log
	vmList      fuchsiarouter.VMList
	entryClient *peer.Client
	// entryAddresses holds the control addresses of entries: those given by the flag
	// --entry or, after resolveEntryAddresses, those in the VM list.
	entryAddresses []string
	// state is the accepted configuration as far as it has been read.
	state *revision.State
	// json is set if results are printed as JSON.
	json bool
	// timeout is the maximum duration of the command. The watch command ignores it.
	timeout time.Duration
}

// newSession returns a session with the flags of a command. It connects to nothing yet.
func (o *Client) newSession(c *cli.Command) (*session, error) {
	entryClient := peer.NewClient()
	if files := (peer.TLSFiles{
		Certificate: c.String("tls-certificate"), Key: c.String("tls-key"), Authorities: c.String("tls-authorities"),
	}); files != (peer.TLSFiles{}) {
		credentials, err := peer.LoadTLSCredentials(files)
		if err != nil {
			return nil, withExitCode(ExitInvalid, err)
		}
		entryClient = peer.NewClientTLS(credentials, nil)
	}
	s := &session{
		Client: o, entryClient: entryClient, entryAddresses: c.StringSlice("entry"),
		state: revision.New(c.StringSlice("bootstrap-key")),
		json:  c.Bool("json"), timeout: c.Duration("timeout"),
	}
	if address := c.String("platform"); address != "" {
		s.log, s.vmList = o.NewLog(address), o.NewVMList(address)
	}
	return s, nil
}

// close closes the connections to entries.
func (s *session) close() { _ = s.entryClient.Close() }

// warn writes a line with a warning for the operator.
func (s *session) warn(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Err, "warning: "+format+"\n", arguments...)
}

// loadState updates the configuration state from an entry and the log. If the log does
// not answer, it uses the configuration of the entry alone and prints a warning. Without
// an entry, the log must retain its first record or a snapshot.
func (s *session) loadState(ctx context.Context) error {
	fetchErr := s.fetchSnapshot(ctx)
	if s.log == nil {
		if fetchErr != nil {
			return withExitCode(ExitUnavailable, errors.Wrap(fetchErr, "--platform is not given and no entry answers"))
		}
		return nil
	}
	if _, err := s.readLog(ctx); err != nil {
		if fetchErr != nil {
			return withExitCode(ExitUnavailable, errors.Wrap(err, "read the log"))
		}
		s.warn("the log does not answer; showing the configuration of an entry")
		return nil
	}
	if !s.state.HasHistory() {
		return exitErrorf(ExitUnavailable, "the log retains no usable snapshot, and no entry returned its configuration: %v", fetchErr)
	}
	return nil
}

// readLog applies the records that the state doesn't contain yet, up to the end of the log,
// and returns their outcomes. If a read fails, it returns the outcomes so far and the error.
func (s *session) readLog(ctx context.Context) ([]revision.Outcome, error) {
	var outcomes []revision.Outcome
	for {
		batch, err := s.log.Read(ctx, revision.Stream, s.state.NextOffset(), maxReadRecords, 0)
		var expired *fuchsiarouter.ExpiredError
		switch {
		case errors.As(err, &expired):
			s.state.SkipExpired(expired.OldestOffset)
			continue
		case err != nil:
			return outcomes, err
		}
		outcomes = append(outcomes, s.state.ApplyBatch(batch)...)
		if len(batch.Records) == 0 || s.state.NextOffset() >= batch.NextOffset {
			return outcomes, nil
		}
	}
}

// fetchSnapshot fetches the whole configuration from the first entry that provides a valid
// one, and takes it over if it is newer than the state of the session.
func (s *session) fetchSnapshot(ctx context.Context) error {
	return s.tryEntries(ctx, func(address string) error {
		snapshot, err := s.entryClient.Document(ctx, address, nil)
		if err != nil {
			return err
		}
		_, err = s.state.Merge(snapshot)
		return err
	})
}

// tryEntries calls the function with the control address of one entry after the other until
// a call succeeds. If none does, it returns the errors of all calls.
func (s *session) tryEntries(ctx context.Context, call func(address string) error) error {
	addresses := s.resolveEntryAddresses(ctx)
	if len(addresses) == 0 {
		return errors.New("no entry is known: --entry or --platform is required")
	}
	var failures error
	for _, address := range addresses {
		err := call(address)
		if err == nil {
			return nil
		}
		failures = errors.Join(failures, err)
	}
	return failures
}

// resolveEntryAddresses returns the control addresses of the entries given by the flag
// --entry, or else of those in the VM list. It reads the VM list until that contains an
// entry, and then keeps the addresses. If the list cannot be read, there are none.
func (s *session) resolveEntryAddresses(ctx context.Context) []string {
	if len(s.entryAddresses) > 0 || s.vmList == nil {
		return s.entryAddresses
	}
	vms, err := s.vmList.VMs(ctx)
	if err != nil {
		return nil
	}
	for _, vm := range vms {
		if vm.Kind == fuchsiarouter.KindEntry && vm.ControlAddress != "" {
			s.entryAddresses = append(s.entryAddresses, vm.ControlAddress)
		}
	}
	return s.entryAddresses
}

// fetchStatus returns the status of the first entry that responds.
func (s *session) fetchStatus(ctx context.Context) (peer.StatusResponse, error) {
	var status peer.StatusResponse
	err := s.tryEntries(ctx, func(address string) error {
		response, err := s.entryClient.Status(ctx, address)
		status = response
		return err
	})
	if err != nil {
		return status, withExitCode(ExitUnavailable, errors.Wrap(err, "no entry returned its status"))
	}
	return status, nil
}

// parseSectionFlag returns the section that the flag --section names, or an error if there
// is no such section.
func parseSectionFlag(c *cli.Command) (document.Section, error) {
	name := document.Section(c.String("section"))
	for _, known := range document.Sections() {
		if name == known {
			return name, nil
		}
	}
	return "", exitErrorf(ExitInvalid, "unknown section %q, allowed: %v", name, document.Sections())
}

// waitPollInterval waits for the poll interval. If the context ends before, it returns the
// error of the context.
func (o *Client) waitPollInterval(ctx context.Context) error {
	select {
	case <-time.After(o.PollInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
