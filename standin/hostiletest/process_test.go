package hostiletest_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// binaries returns the directory of the programs, which are built once.
var binaries = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "hostiletest-")
	if err != nil {
		return "", err
	}
	for _, module := range []string{"../..", ".."} {
		build := exec.Command("go", "build", "-buildvcs=false", "-o", directory+string(filepath.Separator), "./cmd/...")
		build.Dir = module
		if output, err := build.CombinedOutput(); err != nil {
			return "", fmt.Errorf("%w: %s", err, output)
		}
	}
	return directory, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if directory, err := binaries(); err == nil {
		_ = os.RemoveAll(directory)
	}
	os.Exit(code)
}

// binaryDirectory builds the programs, unless that is done, and returns their directory.
func binaryDirectory(t *testing.T) string {
	if testing.Short() {
		t.Skip("the test starts processes and fills their memory")
	}
	directory, err := binaries()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return directory
}

// startDaemon starts a daemon of the users' platform with a settings file, and returns the process ID.
func startDaemon(t *testing.T, kind, nodeFile string) int {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "node.json")
	g.Expect(os.WriteFile(path, []byte(nodeFile), 0o600)).To(gomega.Succeed())
	var log bytes.Buffer
	command := exec.Command(filepath.Join(binaryDirectory(t), "fuchsiarouterd"), kind, "--node-file", path)
	command.Stdout, command.Stderr = &log, &log
	// The kernel kills the daemon if this process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.Expect(command.Start()).To(gomega.Succeed())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if t.Failed() {
			t.Logf("end of the log of the %s:\n%s", kind, log.Bytes()[max(0, log.Len()-4000):])
		}
	})
	return command.Process.Pid
}

// statusLine returns the value of a line with kilobytes in the status of a process, in bytes.
func statusLine(pid int, name string) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	match := regexp.MustCompile(name + `:\s+(\d+) kB`).FindSubmatch(status)
	if match == nil {
		return 0, fmt.Errorf("process %d has no %s: %s", pid, name, status)
	}
	kilobytes, err := strconv.Atoi(string(match[1]))
	return kilobytes << 10, err
}

// usage is what a process holds at one time.
type usage struct {
	// residentBytes is the resident memory, unreadBytes what its sockets have received and it has
	// not read.
	residentBytes, unreadBytes int
	descriptors                int
}

// readUsage returns what a process holds. A process that has ended holds nothing.
func readUsage(pid int) usage {
	var u usage
	u.residentBytes, _ = statusLine(pid, "VmRSS")
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(directory)
	u.descriptors = len(entries)
	sockets := map[string]struct{}{}
	for _, entry := range entries {
		target, _ := os.Readlink(filepath.Join(directory, entry.Name()))
		if inode, isSocket := strings.CutPrefix(target, "socket:["); isSocket {
			sockets[strings.TrimSuffix(inode, "]")] = struct{}{}
		}
	}
	table, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	for line := range strings.Lines(string(table)) {
		// The columns include the state, the two queues as TX:RX and the inode.
		const state, queues, inode = 3, 4, 9
		fields := strings.Fields(line)
		if len(fields) <= inode || fields[state] == "0A" {
			continue
		}
		if _, isOwn := sockets[fields[inode]]; isOwn {
			_, received, _ := strings.Cut(fields[queues], ":")
			unread, _ := strconv.ParseInt(received, 16, 64)
			u.unreadBytes += int(unread)
		}
	}
	return u
}

// isRunning reports whether a process exists and is no zombie.
func isRunning(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !bytes.Contains(status, []byte(") Z "))
}
