package proofs_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/client"
	"wasabislip.example/wasabislip/internal/modules/mtls"
	"wasabislip.example/wasabislip/internal/modules/setup"
	"wasabislip.example/wasabislip/internal/standin/inproc"
)

// writeCertificate creates a certificate authority and a certificate that it
// signed for the IP addresses, as PEM files.
func writeCertificate(t *testing.T, ips ...string) mtls.Files {
	t.Helper()
	is := is.New(t)
	now := time.Now()
	root := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotBefore:    root.NotBefore,
		NotAfter:     root.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, ip := range ips {
		leaf.IPAddresses = append(leaf.IPAddresses, net.ParseIP(ip))
	}
	rootKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	rootDER, err := x509.CreateCertificate(rand.Reader, root, root, &rootKey.PublicKey, rootKey)
	is.NoErr(err)
	der, err := x509.CreateCertificate(rand.Reader, leaf, root, &key.PublicKey, rootKey)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	save := func(name, kind string, body []byte) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{
			Type:  kind,
			Bytes: body,
		}), 0o600))
		return path
	}
	return mtls.Files{
		Cert: save("cert.pem", "CERTIFICATE", der),
		Key:  save("key.pem", "EC PRIVATE KEY", keyDER),
		CA:   save("ca.pem", "CERTIFICATE", rootDER),
	}
}

// queryStatus asks the first host for its status, on its peer port, with a TLS
// configuration.
func (cl *cluster) queryStatus(cfg *tls.Config) error {
	c := client.NewWithDialer(cfg, cl.net.Dialer(callerIP))
	defer c.Close()
	ctx, cancel := context.WithTimeout(cl.ctx, 3*time.Second)
	defer cancel()
	_, err := c.Admin(net.JoinHostPort(cl.Hosts[0].Address, "7000")).Status(ctx, connect.NewRequest(&v1.StatusRequest{}))
	return err
}

// readWithKey runs a read with a key over TLS, or without TLS if cfg is nil.
func (cl *cluster) readWithKey(cfg *tls.Config, key string) error {
	c, err := pgx.ParseConfig("postgres://orchid-market:" + key + "@" + cl.CallerAddress(cl.Hosts[0]) + "/" + database + "?sslmode=disable")
	if err != nil {
		return err
	}
	c.TLSConfig = cfg
	c.DialFunc = cl.net.Dialer(callerIP)
	c.LookupFunc = func(_ context.Context, name string) ([]string, error) {
		return []string{name}, nil
	}
	ctx, cancel := context.WithTimeout(cl.ctx, 5*time.Second)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, c)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = queryOn(ctx, conn, "SELECT get('hold-17')")
	return err
}

// TestTLS checks who is let in when hosts require TLS: callers need TLS and the
// right key, other hosts and operators a certificate of the same authority.
func TestTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ips []string
		for _, h := range newHosts(3) {
			ips = append(ips, h.Address)
		}
		own, other := writeCertificate(t, ips...), writeCertificate(t, ips...)
		ownClient, err := own.ClientConfig()
		is.NoErr(err)
		cl := startCluster(t, 3, func(s *inproc.Cluster) {
			s.AdjustSettings = func(s *setup.Settings) {
				s.Peers.Plain, s.Callers.Plain = false, false
				s.Peers.CertFile, s.Peers.KeyFile, s.Peers.CAFile = own.Cert, own.Key, own.CA
				s.Callers.CertFile, s.Callers.KeyFile = own.Cert, own.Key
			}
		})
		caller := &tls.Config{
			RootCAs:    ownClient.RootCAs,
			ServerName: ips[0],
			MinVersion: tls.VersionTLS12,
		}
		end := time.Now().Add(readyTimeout)
		for err := cl.readWithKey(caller, secretOf("orchid-market")); err != nil; err = cl.readWithKey(caller, secretOf("orchid-market")) {
			if time.Now().After(end) {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(cl.readWithKey(caller, "wrong") != nil)                                        // wrong key
		is.True(cl.readWithKey(nil, secretOf("orchid-market")) != nil)                         // a key without TLS
		is.NoErr(cl.queryStatus(ownClient))                                                    // an operator of the fleet
		is.True(cl.queryStatus(nil) != nil)                                                    // no TLS
		is.True(cl.queryStatus(clientConfig(ownClient.RootCAs, "")) != nil)                    // a caller, without a certificate
		is.True(cl.queryStatus(clientConfig(ownClient.RootCAs, other.Cert, other.Key)) != nil) // another authority's certificate
	})
}

// clientConfig returns a TLS configuration that trusts roots and presents the
// certificate and key of pair, if those PEM files can be loaded.
func clientConfig(roots *x509.CertPool, pair ...string) *tls.Config {
	cfg := &tls.Config{
		RootCAs:    roots,
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
	}
	if len(pair) == 2 {
		cert, err := tls.LoadX509KeyPair(pair[0], pair[1])
		if err == nil {
			cfg.Certificates = []tls.Certificate{cert}
		}
	}
	return cfg
}
