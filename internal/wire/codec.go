package wire

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of inputs.
const (
	// MaxMessageBytes bounds one encoded message.
	MaxMessageBytes = 4 << 20
	// MaxDepth bounds the nesting of an encoded message.
	MaxDepth = 16
	// MaxElements bounds the elements of one array or the pairs of one map.
	MaxElements = 1 << 16
)

var (
	bufMode = mustBuf()
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustBuf() cbor.UserBufferEncMode {
	m, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec() cbor.DecMode {
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

// Marshal encodes v.
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

// MarshalTo appends the encoding of v to buf.
func MarshalTo(buf *bytes.Buffer, v any) error {
	before := buf.Len()
	if err := bufMode.MarshalToBuffer(v, buf); err != nil {
		return fmt.Errorf("encode %T: %w", v, err)
	}
	if n := buf.Len() - before; n > MaxMessageBytes {
		return fmt.Errorf("encode %T: %d bytes exceed the limit of %d", v, n, MaxMessageBytes)
	}
	return nil
}

// Unmarshal decodes data into v.
func Unmarshal(data []byte, v any) error {
	if len(data) > MaxMessageBytes {
		return fmt.Errorf("decode %T: %d bytes exceed the limit of %d", v, len(data), MaxMessageBytes)
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
