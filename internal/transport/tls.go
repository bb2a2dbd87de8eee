package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"os"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"snipegw/internal/kernel"
)

// ALPN is the protocol name of all connections between processes.
const ALPN = "snipegw/1"

// serverName is the DNS name in the certificates of all processes.
const serverName = "snipegw"

// Security holds the settings of mutual TLS. In development mode all processes
// derive the same keys from constants in the source code. That gives no protection
// and is meant for use on loopback only.
type Security struct {
	// Mode is ModeProduction or ModeDevelopment.
	Mode string `json:"mode"`
	// CertFile, KeyFile and CAFile are PEM files. They are read again at a handshake
	// if the last read is at least reloadInterval ago, so that certificates can be
	// renewed without a restart.
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
}

// Values of Security.Mode.
const (
	ModeProduction  = "production"
	ModeDevelopment = "development"
)

// Provision fills in defaults.
func (s *Security) Provision() {
	if s.Mode == "" {
		s.Mode = ModeProduction
	}
}

// Validate appends to faults every invalid setting of s. path is the settings path
// of s.
func (s *Security) Validate(path string, faults *kernel.ValidationErrors) {
	switch s.Mode {
	case ModeDevelopment:
	case ModeProduction:
		for name, file := range map[string]string{"cert_file": s.CertFile, "key_file": s.KeyFile, "ca_file": s.CAFile} {
			if file == "" {
				faults.Add(path+"."+name, "required in production mode")
			} else if _, err := os.Stat(file); err != nil {
				faults.Add(path+"."+name, "%v", err)
			}
		}
	default:
		faults.Add(path+".mode", "must be %s or %s", ModeProduction, ModeDevelopment)
	}
}

// reloadInterval is the minimum interval between two reads of the certificate
// files.
const reloadInterval = time.Minute

// keyMaterial is the certificate of a process and the authorities that it trusts.
type keyMaterial struct {
	cert        tls.Certificate
	authorities *x509.CertPool
	loaded      time.Time
}

// Credentials holds the TLS key material of a process. It is safe for concurrent
// use.
type Credentials struct {
	settings Security
	cached   atomic.Pointer[keyMaterial]
	now      func() time.Time
}

// NewCredentials loads the key material from the files of s, or derives it in
// development mode.
func NewCredentials(s Security) (*Credentials, error) {
	c := &Credentials{settings: s, now: time.Now}
	m, err := c.load()
	if err != nil {
		return nil, err
	}
	c.cached.Store(m)
	return c, nil
}

func (c *Credentials) load() (*keyMaterial, error) {
	if c.settings.Mode == ModeDevelopment {
		return developmentMaterial()
	}
	cert, err := tls.LoadX509KeyPair(c.settings.CertFile, c.settings.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	pem, err := os.ReadFile(c.settings.CAFile)
	if err != nil {
		return nil, fmt.Errorf("load CA certificate: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load CA certificate: no valid PEM certificate in %s", c.settings.CAFile)
	}
	return &keyMaterial{cert: cert, authorities: authorities, loaded: c.now()}, nil
}

// current returns the current key material. If it was loaded at least
// reloadInterval ago, current reads the files again; if that fails, it keeps the
// previous material for another reloadInterval.
func (c *Credentials) current() *keyMaterial {
	m := c.cached.Load()
	if c.settings.Mode == ModeDevelopment || c.now().Sub(m.loaded) < reloadInterval {
		return m
	}
	fresh, err := c.load()
	if err != nil {
		fresh = &keyMaterial{cert: m.cert, authorities: m.authorities, loaded: c.now()}
	}
	c.cached.CompareAndSwap(m, fresh)
	return c.cached.Load()
}

// developmentMaterial derives the same certificate authority in every process, so
// that processes on one machine accept each other without files. The certificate
// has a key and a name other than those of the authority, since verification skips
// an authority that has the key and the name of the certificate.
func developmentMaterial() (*keyMaterial, error) {
	authorityKey, err := developmentKey("authority")
	if err != nil {
		return nil, err
	}
	authority, err := developmentCertificate(serverName+" development authority", &authorityKey.PublicKey, nil, authorityKey)
	if err != nil {
		return nil, err
	}
	key, err := developmentKey("certificate")
	if err != nil {
		return nil, err
	}
	leaf, err := developmentCertificate(serverName, &key.PublicKey, authority, authorityKey)
	if err != nil {
		return nil, err
	}
	authorities := x509.NewCertPool()
	authorities.AddCert(authority)
	cert := tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: key, Leaf: leaf}
	return &keyMaterial{cert: cert, authorities: authorities, loaded: time.Now()}, nil
}

// developmentKey derives a key from purpose. It is the same in every process.
func developmentKey(purpose string) (*ecdsa.PrivateKey, error) {
	seed := sha256.Sum256([]byte("snipegw development key, not a secret: " + purpose))
	key, err := ecdsa.ParseRawPrivateKey(elliptic.P256(), seed[:])
	if err != nil {
		return nil, fmt.Errorf("development key: %w", err)
	}
	return key, nil
}

// developmentCertificate returns a certificate for key that parent has signed with
// signer, or a self-signed authority if parent is nil.
func developmentCertificate(name string, key *ecdsa.PublicKey, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		DNSNames:              []string{serverName},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Unix(0, 0).AddDate(200, 0, 0),
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		template.KeyUsage |= x509.KeyUsageCertSign
		parent = template
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key, signer)
	if err != nil {
		return nil, fmt.Errorf("development certificate: %w", err)
	}
	return x509.ParseCertificate(der)
}

// resetKey returns the key for QUIC stateless resets, by which a restarted
// process informs its peers that their connections to its predecessor are gone.
// Without it, a peer would detect that only after quicIdleTimeout. It is
// derived from the private key, which is the same after a restart.
func (c *Credentials) resetKey() *quic.StatelessResetKey {
	key, err := x509.MarshalPKCS8PrivateKey(c.current().cert.PrivateKey)
	if err != nil {
		return nil
	}
	sum := quic.StatelessResetKey(sha256.Sum256(append([]byte("snipegw stateless reset: "), key...)))
	return &sum
}

// serverConfig returns a TLS configuration that uses the current key material for
// each handshake and requires a client certificate.
func (c *Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{ALPN},
				Certificates: []tls.Certificate{m.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.authorities,
			}, nil
		},
	}
}

// clientConfig returns a TLS configuration with the current key material.
func (c *Credentials) clientConfig() *tls.Config {
	m := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{ALPN},
		ServerName:   serverName,
		Certificates: []tls.Certificate{m.cert},
		RootCAs:      m.authorities,
	}
}
