package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// TLSFiles holds the paths of the PEM files for mutual TLS: the certificate of this
// daemon with its key, and the certificate authorities that the daemon trusts.
type TLSFiles struct {
	Certificate string
	Key         string
	Authorities string
}

// TLSCredentials holds the credentials for mutual TLS. Both sides of a connection
// must present a certificate of a trusted authority. The name in the certificate
// is not checked, because daemons are addressed by IP addresses, which change.
//
// Reload reads the files again. Open connections keep the old credentials. If the
// new files cannot be read or do not match, the old credentials stay in use.
type TLSCredentials struct {
	files TLSFiles

	mutex       sync.Mutex
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// LoadTLSCredentials returns the credentials in the files.
func LoadTLSCredentials(files TLSFiles) (*TLSCredentials, error) {
	credentials := &TLSCredentials{files: files}
	if err := credentials.Reload(); err != nil {
		return nil, err
	}
	return credentials, nil
}

// Reload replaces the credentials with the current contents of the files, or
// returns an error and keeps the old ones.
func (c *TLSCredentials) Reload() error {
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "read certificate")
	}
	encoded, err := os.ReadFile(c.files.Authorities)
	if err != nil {
		return errors.Wrap(err, "read certificate authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(encoded) {
		return errors.Errorf("%s contains no PEM certificate", c.files.Authorities)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.certificate, c.authorities = &certificate, authorities
	return nil
}

// connectionConfig returns the TLS configuration for a new connection, as client or
// as server, with the current credentials. Session resumption is off, so that every
// certificate is checked against the current authorities.
func (c *TLSCredentials) connectionConfig() *tls.Config {
	c.mutex.Lock()
	certificate, authorities := *c.certificate, c.authorities
	c.mutex.Unlock()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// The name is not checked; verifyPeer checks the rest on both sides.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, authorities)
		},
	}
}

// serverConfig returns the TLS configuration of a server, which uses the credentials
// that are current when a connection is accepted.
func (c *TLSCredentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.connectionConfig(), nil },
	}
}

// verifyPeer checks that the other side of a connection presented a certificate of
// a trusted authority.
func verifyPeer(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, CurrentTime: time.Now(),
		// A daemon uses one certificate as both server and client.
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Wrap(err, "verify peer certificate")
	}
	return nil
}
