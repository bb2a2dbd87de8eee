package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
	"snipegw/internal/wire"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	cert, err := developmentCertificate("test authority", &key.PublicKey, nil, key)
	Expect(err).NotTo(HaveOccurred())
	return &authority{cert: cert, key: key}
}

// writeFiles creates a certificate that expires at notAfter, writes it to dir
// with its key and the authority, and returns the settings that refer to the
// files.
func (a *authority) writeFiles(dir string, notAfter time.Time) Security {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: serverName}, DNSNames: []string{serverName},
		NotBefore: notAfter.Add(-24 * time.Hour), NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	s := Security{
		Mode: ModeProduction, CertFile: filepath.Join(dir, "cert.pem"),
		KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem"),
	}
	for file, block := range map[string]*pem.Block{
		s.CertFile: {Type: "CERTIFICATE", Bytes: der},
		s.KeyFile:  {Type: "EC PRIVATE KEY", Bytes: keyDER},
		s.CAFile:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		Expect(os.WriteFile(file, pem.EncodeToMemory(block), 0o600)).To(Succeed())
	}
	return s
}

var _ = Describe("credentials in production mode", func() {
	var (
		ours   *authority
		server *Server
		valid  time.Time
	)

	BeforeEach(func() {
		ours = newAuthority()
		valid = time.Now().Add(time.Hour)
		creds, err := NewCredentials(ours.writeFiles(GinkgoT().TempDir(), valid))
		Expect(err).NotTo(HaveOccurred())
		server, err = Listen("127.0.0.1:0", creds, HandlerFunc(echo))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
	})

	call := func(s Security) error {
		creds, err := NewCredentials(s)
		Expect(err).NotTo(HaveOccurred())
		pool, err := NewPool("127.0.0.1:0", creds)
		Expect(err).NotTo(HaveOccurred())
		defer pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return pool.Call(ctx, server.Addr(), wire.KindRelease, &wire.Release{Attempt: 1}, &wire.Ack{})
	}

	It("accepts a certificate signed by the same authority", func() {
		Expect(call(ours.writeFiles(GinkgoT().TempDir(), valid))).To(Succeed())
	})

	It("refuses a certificate signed by another authority", func() {
		Expect(call(newAuthority().writeFiles(GinkgoT().TempDir(), valid))).To(MatchError(ContainSubstring("unknown authority")))
	})

	It("refuses a client whose certificate is signed by another authority, although it trusts ours", func() {
		s := newAuthority().writeFiles(GinkgoT().TempDir(), valid)
		s.CAFile = ours.writeFiles(GinkgoT().TempDir(), valid).CAFile
		Expect(call(s)).To(MatchError(ContainSubstring("unknown certificate authority")))
	})

	It("refuses an expired certificate", func() {
		Expect(call(ours.writeFiles(GinkgoT().TempDir(), time.Now().Add(-time.Minute)))).To(MatchError(ContainSubstring("expired certificate")))
	})

	It("refuses development keys", func() {
		Expect(call(Security{Mode: ModeDevelopment})).To(MatchError(ContainSubstring("unknown authority")))
	})

	It("loads a renewed certificate without a restart and keeps the old one if the files are damaged", func() {
		dir := GinkgoT().TempDir()
		creds, err := NewCredentials(ours.writeFiles(dir, valid))
		Expect(err).NotTo(HaveOccurred())
		now := time.Now()
		creds.now = func() time.Time { return now }
		first := creds.current().cert.Certificate[0]
		ours.writeFiles(dir, valid.Add(time.Hour))
		Expect(creds.current().cert.Certificate[0]).To(Equal(first))
		now = now.Add(2 * reloadInterval)
		renewed := creds.current().cert.Certificate[0]
		Expect(renewed).NotTo(Equal(first))
		Expect(os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("damaged"), 0o600)).To(Succeed())
		now = now.Add(2 * reloadInterval)
		Expect(creds.current().cert.Certificate[0]).To(Equal(renewed))
	})

	It("reports every missing file in the settings", func() {
		var faults kernel.ValidationErrors
		s := Security{Mode: ModeProduction, CertFile: "does-not-exist"}
		s.Validate("security", &faults)
		Expect(faults).To(HaveLen(3))
	})
})
