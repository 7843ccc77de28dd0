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

// issue makes an authority and a certificate of it for the IP numbers, as PEM
// files.
func issue(t *testing.T, ips ...string) mtls.Files {
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

// status asks the peer port of the first host with a TLS configuration.
func (w *world) status(cfg *tls.Config) error {
	c := client.NewWithDialer(cfg, w.net.Dialer(callerIP))
	defer c.Close()
	ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
	defer cancel()
	_, err := c.Admin(net.JoinHostPort(w.Hosts[0].Address, "7000")).Status(ctx, connect.NewRequest(&v1.StatusRequest{}))
	return err
}

// login runs a read with a key over TLS, or without it when cfg is nil.
func (w *world) login(cfg *tls.Config, key string) error {
	c, err := pgx.ParseConfig("postgres://orchid-market:" + key + "@" + w.CallerAddress(w.Hosts[0]) + "/" + database + "?sslmode=disable")
	if err != nil {
		return err
	}
	c.TLSConfig = cfg
	c.DialFunc = w.net.Dialer(callerIP)
	c.LookupFunc = func(_ context.Context, name string) ([]string, error) {
		return []string{name}, nil
	}
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, c)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = askOn(ctx, conn, "SELECT get('hold-17')")
	return err
}

func TestTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ips []string
		for _, h := range hosts(3) {
			ips = append(ips, h.Address)
		}
		own, other := issue(t, ips...), issue(t, ips...)
		ownClient, err := own.ClientConfig()
		is.NoErr(err)
		w := startWorld(t, 3, func(s *inproc.Cluster) {
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
		end := time.Now().Add(readyWithin)
		for err := w.login(caller, secretOf("orchid-market")); err != nil; err = w.login(caller, secretOf("orchid-market")) {
			if time.Now().After(end) {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(w.login(caller, "wrong") != nil)                                     // another key
		is.True(w.login(nil, secretOf("orchid-market")) != nil)                      // a key without TLS
		is.NoErr(w.status(ownClient))                                                // an operator of the fleet
		is.True(w.status(nil) != nil)                                                // no TLS
		is.True(w.status(trusting(ownClient.RootCAs, "")) != nil)                    // a caller, without a certificate
		is.True(w.status(trusting(ownClient.RootCAs, other.Cert, other.Key)) != nil) // another authority's certificate
	})
}

// trusting returns a configuration that trusts roots and shows the pair of PEM
// files, if there is one.
func trusting(roots *x509.CertPool, pair ...string) *tls.Config {
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
