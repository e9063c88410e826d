package dialer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1, its key and its authority
// (the same certificate) to a folder and returns their paths.
func writeCertificate(t *testing.T, folder string) *schema.Tls {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "trefoil"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, b []byte) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	certFile := write("cert.pem", "CERTIFICATE", cert)
	return &schema.Tls{Cert: certFile, Key: write("key.pem", "EC PRIVATE KEY", private), Authority: certFile}
}

// TestMutualTLS guards against a process being accepted that has no certificate, or one issued by
// another authority; a process with a certificate of the same authority must be accepted.
func TestMutualTLS(t *testing.T) {
	ours, other := writeCertificate(t, t.TempDir()), writeCertificate(t, t.TempDir())
	s, err := NewServer("secret", ours, func(string) bool { return false }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	schema.RegisterEntryServiceServer(s, donationServer{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	call := func(files *schema.Tls) error {
		d := &Dialer{Secret: "secret", MutualTLS: files, Timer: &timer.Service{}}
		defer d.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		c, err := d.EntryClient(l.Addr().String())
		if err != nil {
			return err
		}
		_, err = c.Donate(ctx, &schema.DonateRequest{})
		return err
	}
	if err := call(ours); err != nil {
		t.Errorf("certificate of the same authority: %v", err)
	}
	if call(other) == nil {
		t.Error("a certificate of another authority was accepted")
	}
	if call(nil) == nil {
		t.Error("a connection without a certificate was accepted")
	}
}
