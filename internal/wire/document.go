package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Document is a text that is compressed on the wire. Every version of the
// configuration document is sent to every agent and compresses well, since most
// of its text repeats.
type Document []byte

// MarshalCBOR implements cbor.Marshaler.
func (d Document) MarshalCBOR() ([]byte, error) {
	var packed bytes.Buffer
	if len(d) > 0 {
		w, err := flate.NewWriter(&packed, flate.BestSpeed)
		if err != nil {
			return nil, fmt.Errorf("compress document: %w", err)
		}
		if _, err := w.Write(d); err != nil {
			return nil, fmt.Errorf("compress document: %w", err)
		}
		if err := w.Close(); err != nil {
			return nil, fmt.Errorf("compress document: %w", err)
		}
	}
	return encMode.Marshal(packed.Bytes())
}

// UnmarshalCBOR implements cbor.Unmarshaler. A document that is longer than
// MaxMessageBytes after decompression is refused.
func (d *Document) UnmarshalCBOR(data []byte) error {
	var packed []byte
	if err := decMode.Unmarshal(data, &packed); err != nil {
		return err
	}
	*d = nil
	if len(packed) == 0 {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxMessageBytes+1))
	if err != nil {
		return fmt.Errorf("decompress document: %w", err)
	}
	if len(text) > MaxMessageBytes {
		return fmt.Errorf("decompress document: longer than %d bytes", MaxMessageBytes)
	}
	*d = text
	return nil
}
