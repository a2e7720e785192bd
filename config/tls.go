package config

import (
	"crypto/tls"
	"crypto/x509"
)

// tls reads the certificates. On the public side only the daemon has a certificate; on the peer
// side both ends authenticate each other by certificates of one CA.
func (r *reader) tls(s *Settings) {
	if cert := r.keyPair("public_certificate", "public_key"); cert != nil {
		s.PublicTLS = &tls.Config{Certificates: []tls.Certificate{*cert}, MinVersion: tls.VersionTLS12}
	}
	cert := r.keyPair("peer_certificate", "peer_key")
	pool := r.pool("peer_ca")
	if (cert == nil) != (pool == nil) {
		r.fail("tls", "peer_ca", "must be set together with peer_certificate and peer_key", "all three or none")
		return
	}
	if cert == nil {
		return
	}
	s.PeerServerTLS = &tls.Config{Certificates: []tls.Certificate{*cert}, MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}
	s.PeerClientTLS = &tls.Config{Certificates: []tls.Certificate{*cert}, MinVersion: tls.VersionTLS13, RootCAs: pool}
}

// keyPair reads a certificate and its private key; it returns nil if neither is set.
func (r *reader) keyPair(certificate, key string) *tls.Certificate {
	certPath, keyPath := r.text("tls", certificate, ""), r.text("tls", key, "")
	if certPath == "" && keyPath == "" {
		return nil
	}
	if certPath == "" || keyPath == "" {
		r.fail("tls", certificate, "must be set together with "+key, "both or none")
		return nil
	}
	const allowed = "a PEM file"
	certPEM, _ := r.namedFile("tls", certificate, allowed)
	cert, err := tls.X509KeyPair(certPEM, r.privateFile("tls", key, allowed))
	if err != nil {
		r.fail("tls", certificate, err.Error(), "a PEM certificate that belongs to "+key)
		return nil
	}
	return &cert
}

func (r *reader) pool(key string) *x509.CertPool {
	if r.text("tls", key, "") == "" {
		return nil
	}
	data, _ := r.namedFile("tls", key, "a PEM file")
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		r.fail("tls", key, "holds no certificate", "a PEM file with the certificates of the CA")
	}
	return pool
}
