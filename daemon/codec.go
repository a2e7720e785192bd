package daemon

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// strictJSON is the JSON codec of the public schema. Unlike connect's own codec, it refuses
// unknown fields, so that a misspelt field is not silently dropped.
type strictJSON struct{}

var errNotProto = errors.New("daemon: value is not a protobuf message")

// Name implements connect.Codec.
func (strictJSON) Name() string { return "json" }

// Marshal implements connect.Codec.
func (strictJSON) Marshal(v any) ([]byte, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, errors.WithStack(errNotProto)
	}
	return protojson.Marshal(m)
}

// Unmarshal implements connect.Codec.
func (strictJSON) Unmarshal(data []byte, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return errors.WithStack(errNotProto)
	}
	return protojson.Unmarshal(data, m)
}
