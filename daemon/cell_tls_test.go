package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/client"
	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/internal/relay"
	"github.com/bulrushwinch/bulrushwinch/peer"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

func newRelay(t *testing.T, target string) *relay.Relay { return relay.New(t, target) }

// writePEM writes a certificate for 127.0.0.1 that is signed by its own key. The returned pool
// contains it as the CA.
func writePEM(t *testing.T, dir string) *x509.CertPool {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	for name, data := range map[string][]byte{"cert.pem": certPEM, "key.pem": pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})} {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return pool
}

const tlsSettings = `[node]
name = vm%d
failure_domain = cordon
roles = %s
[listen]
public = 127.0.0.1:%d
peer = 127.0.0.1:%d
admin = 127.0.0.1:%d
[cluster]
replicas = 127.0.0.1:11
voters = 1
secret_file = secret
[operator]
key_sha256 = %s
[entry]
drain_delay = 0s
[tls]
public_certificate = cert.pem
public_key = key.pem
peer_certificate = cert.pem
peer_key = key.pem
peer_ca = cert.pem
`

// TestTLSOnBothSides runs a replica and an entry with TLS by settings. Callers and peers
// with the CA are served, those without are not.
func TestTLSOnBothSides(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	pool := writePEM(t, dir)
	if err := os.WriteFile(filepath.Join(dir, "secret"), []byte("a secret of this test"), 0o600); err != nil {
		t.Fatal(err)
	}
	const operatorKey = "example-operator-key-of-library"
	var list []*config.Settings
	for i, roles := range []string{"replica\ndata_folder = data", "entry"} {
		text := fmt.Sprintf(tlsSettings, i, roles, 10*(i+1), 10*(i+1)+1, 10*(i+1)+2, hashOf(operatorKey))
		s, err := config.Parse(filepath.Join(dir, "vm.ini"), []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, s)
	}
	c := startCell(t, list, operatorKey)
	c.until("ready", func() bool { return isReady(c.settings[0]) && isReady(c.settings[1]) })
	entry := []string{c.settings[1].PublicAddress}
	trusting := client.New(client.Config{Addresses: entry, Key: operatorKey, TLS: &tls.Config{RootCAs: pool}})
	defer trusting.Close()
	if _, err := trusting.Status(t.Context(), &apiv1.StatusRequest{}); err != nil {
		t.Errorf("with the CA: %v", err)
	}
	for name, cfg := range map[string]*tls.Config{"without the CA": {}, "without TLS": nil} {
		cl := client.New(client.Config{Addresses: entry, Key: operatorKey, TLS: cfg})
		if _, err := cl.Status(t.Context(), &apiv1.StatusRequest{}); err == nil {
			t.Errorf("%s: the call was served", name)
		}
		cl.Close()
	}
	stranger := peer.NewPool("a secret of this test", &tls.Config{RootCAs: pool})
	defer stranger.Close()
	if _, _, err := stranger.Forward(t.Context(), c.settings[0].PeerAddress, &peerv1.ForwardRequest{}); err == nil {
		t.Error("a peer without a certificate was served")
	}
}
