package soak

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// firstPort is the first port of daemons. It is below those that the kernel gives out.
const firstPort = 12000

// lastPort counts the ports that nextPort has returned.
var lastPort atomic.Int32

// vmIP returns the IP address of the VM with an index, up to 63, which no other process uses: a port
// that the kernel has given out could be taken by another run before a daemon listens on it.
func vmIP(index int) string {
	pid := os.Getpid()
	// The second byte is below those of other tests.
	return fmt.Sprintf("127.%d.%d.%d", 1+index%63, pid>>8&0xff, pid&0xff)
}

// nextPort returns a port that no other run of this process uses.
func nextPort() int { return firstPort + int(lastPort.Add(1)) }

// vmAddress returns an address of the VM with an index.
func vmAddress(index, port int) string { return net.JoinHostPort(vmIP(index), strconv.Itoa(port)) }
