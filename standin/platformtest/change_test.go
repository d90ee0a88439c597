package platformtest_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

const (
	changeCallers  = 16
	changeServices = 4
	// changeEvents is the number of events of a stream, changeReport the body of another response.
	changeEvents = 8
	changeReport = "the whole report, which comes in some parts"
)

// changedConfiguration returns the configuration with the version. Routes move to other services and
// back, timeouts and limits rise and fall, and routes, services and keys come and go, but k1 and the
// routes of the callers stay.
func changedConfiguration(version int) string {
	text := fmt.Sprintf(configurationFormat, version, fmt.Sprintf(`"k1","x%d"`, version))
	replace := func(applies bool, from, to string) {
		if applies {
			text = strings.ReplaceAll(text, from, to)
		}
	}
	replace(version%2 == 0, `"service":"llm"`, `"service":"llm2"`)
	replace(version%3 == 0, `"service":"plain"`, `"service":"plain2"`)
	replace(version%3 == 1, `"service":"plain"`, fmt.Sprintf(`"split":[{"service":"plain","weight":%d},{"service":"plain2","weight":1}]`, version%5))
	replace(version%4 == 0, `"name":"booking",`, `"name":"booking2",`)
	replace(version%5 == 0, `{"name":"plain"},`, ``)
	replace(true, `"timeoutMs":5000`, fmt.Sprintf(`"timeoutMs":%d`, 4000+1000*(version%4)))
	replace(true, `"maxBodyBytes":10000`, fmt.Sprintf(`"maxBodyBytes":%d`, 4000*(1+version%3)))
	replace(true, `"idleTimeoutMs":15000`, fmt.Sprintf(`"idleTimeoutMs":%d`, 500*(1+version%4)))
	return text
}

// changeReply returns the whole response to a request, written over a quarter of a second.
func changeReply(request *http.Request, framing, start string) string {
	body := changeReport
	if strings.HasPrefix(request.URL.Path, "/llm/") || strings.HasPrefix(request.URL.Path, "/once/") {
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		body = streamBody(last+1, changeEvents)
	}
	reply, closes := strings.CutSuffix(frame(request, framing, start, body), closeMark)
	const parts = 10
	var paced strings.Builder
	for part := range parts {
		paced.WriteString(reply[len(reply)*part/parts:len(reply)*(part+1)/parts] + delayMark)
	}
	if closes {
		paced.WriteString(closeMark)
	}
	return paced.String()
}

// callChanging sends a request on a kept connection, and returns an error unless it gets a whole
// response of a server or a refusal, and whether it was a response.
func callChanging(conn net.Conn, reader *bufio.Reader, path, id string) (answered bool, err error) {
	_ = conn.SetDeadline(time.Now().Add(2 * waitTimeout))
	body := strings.Repeat("b", 3000)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Model: m\r\n"+
		"Authorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body)
	if err != nil {
		return false, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	whole := string(received) == changeReport || string(received) == streamBody(1, changeEvents)
	switch {
	case err != nil:
		return false, err
	case response.Close:
		return false, errors.New("the entry closes the connection")
	case response.StatusCode == http.StatusOK && whole:
		return true, nil
	case response.StatusCode == http.StatusServiceUnavailable:
		return false, nil
	}
	return false, fmt.Errorf("status %d, body %q", response.StatusCode, received)
}

// changingFleet is a fleet whose servers, in four services, are scripted and whose configuration
// changes.
type changingFleet struct {
	*testFleet
	random *rand.Rand
	// reply answers the request with the number at any of the servers.
	reply    func(request *http.Request, number int32) string
	requests atomic.Int32
	started  int
	// servers holds the ID and registration of the registered servers of each service.
	servers [changeServices][]registeredServer
}

type registeredServer struct{ id, registration string }

// addServer starts a server of the service with the index and registers it.
func (f *changingFleet) addServer(service int) {
	f.started++
	id, name := fmt.Sprint("s", f.started), []string{"llm", "llm2", "plain", "plain2"}[service]
	server := f.newScriptedServer(id, name, func(request *http.Request) string { return f.reply(request, f.requests.Add(1)) })
	f.servers[service] = append(f.servers[service], registeredServer{id, scriptedRegistration(name, server.listener.Addr().String())})
}

// removeOldest removes the registration that a service has had longest. The server goes on with
// its requests.
func (f *changingFleet) removeOldest(service int) registeredServer {
	server := f.servers[service][0]
	f.servers[service] = f.servers[service][1:]
	f.store.Put(keyedstore.TopicServers, server.id, "")
	return server
}

// TestChangesOfConfigurationLoseNoRequest guards against a request without an answer beside changes and trouble.
func TestChangesOfConfigurationLoseNoRequest(t *testing.T) {
	t.Parallel()
	whole := func(request *http.Request, _ int32) string { return changeReply(request, "chunked", "200 OK") }
	for _, test := range []struct {
		name  string
		reply func(request *http.Request, number int32) string
		// step makes further trouble after each change.
		step func(f *changingFleet, version int)
	}{
		{name: "no trouble", reply: whole},
		{name: "servers ask for pauses", reply: func(request *http.Request, number int32) string {
			if number%20 == 0 {
				return pauseReply(request, "0.6")
			}
			return whole(request, number)
		}},
		{name: "servers fall silent", reply: func(request *http.Request, number int32) string {
			reply := whole(request, number)
			if number%3 == 0 {
				at := len(reply) * (1 + int(number/3)%4) / 5
				at += strings.Index(reply[at:], delayMark)
				return reply[:at] + silenceMark + reply[at:]
			}
			return reply
		}},
		{name: "responses without a length", reply: func(request *http.Request, number int32) string {
			return changeReply(request, framings[number%3], "200 OK")
		}},
		{name: "servers leave", reply: func(request *http.Request, number int32) string {
			if number%20 == 0 {
				return changeReply(request, "chunked", "200 OK\r\nServer-Leaving: 1")
			}
			return whole(request, number)
		}, step: func(f *changingFleet, version int) {
			f.addServer(version % changeServices)
			f.removeOldest(version % changeServices)
		}},
		{name: "registrations come and go", reply: whole, step: func(f *changingFleet, version int) {
			service := version % changeServices
			server := f.removeOldest(service)
			time.Sleep(100 * time.Millisecond)
			f.servers[service] = append(f.servers[service], server)
			f.store.Put(keyedstore.TopicServers, server.id, server.registration)
		}},
		{name: "the registry is restored", reply: whole, step: func(f *changingFleet, version int) {
			if version%8 != 0 {
				return
			}
			f.store.Restore(time.Second)
			for _, servers := range f.servers {
				for _, server := range servers {
					f.store.Put(keyedstore.TopicServers, server.id, server.registration)
				}
			}
		}},
		{name: "the registry is away", reply: whole, step: func(f *changingFleet, version int) {
			f.store.SetUnavailable(version%8 < 3)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			testChanges(t, test.reply, test.step)
		})
	}
}

// testChanges runs callers on kept connections beside changes of the configuration.
func testChanges(t *testing.T, reply func(*http.Request, int32) string, step func(f *changingFleet, version int)) {
	const changes = 20
	g := gomega.NewWithT(t)
	f := &changingFleet{testFleet: startFleet(t), random: rand.New(rand.NewPCG(1, 2)), reply: reply}
	f.removeServers(f.llmServers)
	f.removeServers(f.plainServers)
	for server := range 3 * changeServices {
		f.addServer(server % changeServices)
	}
	awaitRegistrations()
	stop := make(chan struct{})
	var calling sync.WaitGroup
	var answered atomic.Int32
	for index := range changeCallers {
		calling.Go(func() {
			random := rand.New(rand.NewPCG(3, uint64(index)))
			conn, err := net.Dial("tcp", f.callerAddress)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for request := 0; ; request++ {
				path, id := []string{"/llm/x", "/once/x", "/order/x", "/report/x"}[random.IntN(4)], fmt.Sprint(index, "-", request)
				isAnswer, err := callChanging(conn, reader, path, id)
				if err != nil {
					t.Error(path, id, err)
					return
				}
				if isAnswer {
					answered.Add(1)
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.IntN(200)) * time.Millisecond):
				}
			}
		})
	}
	for version := 2; version < 2+changes; version++ {
		f.store.Put(keyedstore.TopicOperator, "config", changedConfiguration(version))
		if step != nil {
			step(f, version)
		}
		time.Sleep(time.Duration(100+f.random.IntN(300)) * time.Millisecond)
	}
	close(stop)
	calling.Wait()
	t.Log(answered.Load(), "answers of", f.requests.Load(), "requests at servers")
	g.Expect(answered.Load()).To(gomega.BeNumerically(">", 5*changeCallers))
}
