package keyedstore_test

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// get sends a read and returns the status, the era and the body of the response.
func get(t *testing.T, store *keyedstore.Store, path string) (int, string, []byte) {
	g := gomega.NewWithT(t)
	response, err := http.Get("http://" + store.Address() + "/fuchsiarouter/" + path + "&part=0&topic=" + keyedstore.TopicOperator)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return response.StatusCode, response.Header.Get("Store-Era"), body
}

// TestRestoreReusesOffsets guards against a stand-in that restores less than the platform does.
func TestRestoreReusesOffsets(t *testing.T) {
	g := gomega.NewWithT(t)
	store, err := keyedstore.New("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer store.Close()
	store.Put(keyedstore.TopicOperator, "a", "kept")
	time.Sleep(50 * time.Millisecond)
	backup := time.Now()
	time.Sleep(50 * time.Millisecond)
	store.Put(keyedstore.TopicOperator, "b", "lost")
	store.Put(keyedstore.TopicOperator, "b", "lost too")
	_, era, _ := get(t, store, "log-read?from=0")
	g.Expect(era).To(gomega.Equal("1"))

	store.Restore(time.Since(backup) + 20*time.Millisecond)
	status, era, _ := get(t, store, "log-read?from=3")
	g.Expect(status).To(gomega.Equal(http.StatusGone))
	g.Expect(era).To(gomega.Equal("2"))
	store.Put(keyedstore.TopicOperator, "c", "new")
	status, _, body := get(t, store, "log-read?from=1")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(binary.BigEndian.Uint64(body)).To(gomega.Equal(uint64(2)))
	g.Expect(string(body[16+4+1:])).To(gomega.Equal("cnew"))

	_, _, body = get(t, store, "log-newest?")
	var newest struct {
		Items []struct {
			Key    string `json:"key"`
			Offset int    `json:"offset"`
		} `json:"items"`
		End int `json:"end"`
	}
	g.Expect(json.Unmarshal(body, &newest)).To(gomega.Succeed())
	offsets := map[string]int{}
	for _, item := range newest.Items {
		offsets[item.Key] = item.Offset
	}
	g.Expect(offsets).To(gomega.Equal(map[string]int{"a": 0, "c": 1}))
	g.Expect(newest.End).To(gomega.Equal(2))
}
