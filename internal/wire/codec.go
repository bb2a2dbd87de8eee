package wire

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits on messages from other processes.
const (
	// MaxMessageBytes limits the size of one encoded message.
	MaxMessageBytes = 4 << 20
	// MaxDepth limits the nesting of arrays and maps in a message.
	MaxDepth = 16
	// MaxElements limits the elements of one array and the pairs of one map.
	MaxElements = 1 << 16
)

var (
	bufferEncMode = newBufferEncMode()
	encMode       = newEncMode()
	decMode       = newDecMode()
)

func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newBufferEncMode() cbor.UserBufferEncMode {
	m, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  MaxDepth,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal returns the CBOR encoding of v. An encoding longer than
// MaxMessageBytes is an error.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("encode %T: %d bytes exceed the limit of %d", v, len(data), MaxMessageBytes)
	}
	return data, nil
}

// MarshalTo appends the CBOR encoding of v to buf. An encoding longer than
// MaxMessageBytes is an error.
func MarshalTo(buf *bytes.Buffer, v any) error {
	before := buf.Len()
	if err := bufferEncMode.MarshalToBuffer(v, buf); err != nil {
		return fmt.Errorf("encode %T: %w", v, err)
	}
	if n := buf.Len() - before; n > MaxMessageBytes {
		return fmt.Errorf("encode %T: %d bytes exceed the limit of %d", v, n, MaxMessageBytes)
	}
	return nil
}

// Unmarshal decodes CBOR data into v. Data that exceeds one of the limits is an
// error.
func Unmarshal(data []byte, v any) error {
	if len(data) > MaxMessageBytes {
		return fmt.Errorf("decode %T: %d bytes exceed the limit of %d", v, len(data), MaxMessageBytes)
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
