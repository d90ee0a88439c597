package syntax_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestClientsCheckStatus guards against a client of fasthttp, or a reader of response heads, that
// does not reject invalid statuses.
func TestClientsCheckStatus(t *testing.T) {
	g := gomega.NewWithT(t)
	clients := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "standin" || entry.Name() == "review" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		source := string(content)
		found := 0
		for _, client := range []string{"http.Client{", "http.HostClient{", "Header.Read("} {
			found += strings.Count(source, client) - strings.Count(source, "*"+client)
		}
		checks := strings.Count(source, "syntax.NewConn(") + strings.Count(source, "syntax.Check(")
		clients += found
		if strings.Contains(path, "syntax") {
			return nil
		}
		g.Expect(checks).To(gomega.BeNumerically(">=", found), path)
		return nil
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(clients).To(gomega.BeNumerically(">", 5))
}
