package client_test

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
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/modules/client"
	"wasabislip.example/wasabislip/internal/modules/mtls"
)

// peerServer answers every probe.
type peerServer struct {
	wasabislipv1connect.UnimplementedPeerServiceHandler
}

func (peerServer) Probe(context.Context, *connect.Request[wasabislipv1.ProbeRequest]) (*connect.Response[wasabislipv1.ProbeResponse], error) {
	return connect.NewResponse(&wasabislipv1.ProbeResponse{
		Alive: true,
	}), nil
}

// serve returns the address of a host that answers probes.
func serve(t *testing.T, cfg *tls.Config) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &http.Protocols{}
	p.SetHTTP2(cfg != nil)
	p.SetUnencryptedHTTP2(cfg == nil)
	_, h := wasabislipv1connect.NewPeerServiceHandler(peerServer{})
	s := &http.Server{
		Handler:   h,
		TLSConfig: cfg,
		Protocols: p,
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		if cfg == nil {
			_ = s.Serve(l)
			return
		}
		_ = s.ServeTLS(l, "", "")
	})
	t.Cleanup(func() {
		_ = s.Close()
		wg.Wait()
	})
	return l.Addr().String()
}

// probe sends a probe to the host at address on a new connection.
func probe(t *testing.T, c *client.Cache, address string) error {
	t.Helper()
	defer c.Close()
	_, err := c.Peer(address).Probe(t.Context(), connect.NewRequest(&wasabislipv1.ProbeRequest{}))
	return err
}

// newCA writes a certificate for 127.0.0.1 that is its own authority, and its key.
func newCA(t *testing.T) mtls.Files {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	write := func(name, kind string, body []byte) string {
		path := filepath.Join(dir, name)
		block := pem.EncodeToMemory(&pem.Block{
			Type:  kind,
			Bytes: body,
		})
		is.NoErr(os.WriteFile(path, block, 0o600))
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return mtls.Files{
		Cert: cert,
		Key:  write("key.pem", "PRIVATE KEY", raw),
		CA:   cert,
	}
}

func TestCache(t *testing.T) {
	t.Run("without TLS, loopback hosts are reached", func(t *testing.T) {
		is.New(t).NoErr(probe(t, client.New(nil), serve(t, nil)))
	})
	good := newCA(t)
	server, err := good.ServerConfig()
	is.New(t).NoErr(err)
	address := serve(t, server)
	t.Run("a certificate of the authority is accepted", func(t *testing.T) {
		cfg, err := good.ClientConfig()
		is.New(t).NoErr(err)
		is.New(t).NoErr(probe(t, client.New(cfg), address))
	})
	t.Run("a certificate of another authority is rejected", func(t *testing.T) {
		other := newCA(t)
		other.CA = good.CA
		cfg, err := other.ClientConfig()
		is.New(t).NoErr(err)
		is.New(t).True(probe(t, client.New(cfg), address) != nil)
	})
	t.Run("a client without a certificate is rejected", func(t *testing.T) {
		cfg, err := good.ClientConfig()
		is.New(t).NoErr(err)
		cfg.Certificates = nil
		is.New(t).True(probe(t, client.New(cfg), address) != nil)
	})
	t.Run("a host of another authority is not trusted", func(t *testing.T) {
		other := newCA(t)
		cfg, err := other.ClientConfig()
		is.New(t).NoErr(err)
		is.New(t).True(probe(t, client.New(cfg), address) != nil)
	})
	t.Run("a client without TLS is rejected by a host with TLS", func(t *testing.T) {
		is.New(t).True(probe(t, client.New(nil), address) != nil)
	})
}
