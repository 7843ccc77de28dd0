// Package mtls makes the TLS configurations for the port between hosts, which
// operators use too. Both sides must show a certificate of the fleet's certificate
// authority (CA).
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Files are the names of PEM files.
type Files struct {
	// Cert holds the certificate chain.
	Cert string
	// Key holds its private key.
	Key string
	// CA holds the certificate of the authority that signs the certificates of
	// hosts and operators.
	CA string
}

// ServerConfig returns the configuration of a listener that accepts only clients
// with a certificate of the CA.
func (f Files) ServerConfig() (*tls.Config, error) {
	cert, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
	}, nil
}

// ClientConfig returns the configuration of a connection to such a listener. Hosts
// are addressed by IP number, so their certificates must contain it.
func (f Files) ClientConfig() (*tls.Config, error) {
	cert, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
	}, nil
}

// load reads the files and returns the certificate with its key and the CA's pool.
func (f Files) load() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return cert, nil, unusable("certificate "+f.Cert+" with key "+f.Key+" can't be used", err)
	}
	ca, err := os.ReadFile(f.CA)
	if err != nil {
		return cert, nil, unusable("authority "+f.CA+" can't be read", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return cert, nil, unusable("authority "+f.CA+" holds no certificate", nil)
	}
	return cert, pool, nil
}

// unusable returns the fault for a file that cannot be used.
func unusable(reason string, err error) error {
	if err != nil {
		reason = fmt.Sprintf("%s: %v", reason, err)
	}
	return fault.New(
		fault.BadRequest,
		reason,
		"name PEM files of one authority",
	).Wrap(err)
}
