package hostpb_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/hostpb"
)

// earlier returns the type of a message as builds before this one know it: with strings for
// bytes, and a map of session values.
func earlier(is *is.I, name protoreflect.Name) protoreflect.MessageDescriptor {
	is.Helper()
	file := protodesc.ToFileDescriptorProto(wasabislipv1.File_wasabislip_v1_gossip_proto)
	file.Name = proto.String("earlier.proto")
	file.Package = proto.String("earlier")
	file.Service = nil
	for _, m := range file.GetMessageType() {
		for _, f := range m.GetField() {
			if f.GetTypeName() != "" {
				continue
			}
			if f.GetType() == descriptorpb.FieldDescriptorProto_TYPE_BYTES {
				f.Type = descriptorpb.FieldDescriptorProto_TYPE_STRING.Enum()
			}
		}
	}
	var kept []*descriptorpb.DescriptorProto
	for _, m := range file.GetMessageType() {
		switch m.GetName() {
		case "Errand":
			addMap(m)
			kept = append(kept, m)
		case "ErrandQuery", "ErrandAnswer", "InstanceLoad", "UsageCounts", "UsageWindow":
			kept = append(kept, m)
		}
	}
	file.MessageType = kept
	for _, m := range kept {
		rename(m)
	}
	d, err := protodesc.NewFile(file, protoregistry.GlobalFiles)
	is.NoErr(err)
	return d.Messages().ByName(name)
}

// rename lets the message's fields refer to the messages of the earlier build.
func rename(m *descriptorpb.DescriptorProto) {
	for _, f := range m.GetField() {
		if t, ok := cutPackage(f.GetTypeName()); ok {
			f.TypeName = proto.String(".earlier." + t)
		}
	}
}

func cutPackage(name string) (string, bool) {
	const prefix = ".wasabislip.v1."
	if len(name) < len(prefix) || name[:len(prefix)] != prefix {
		return "", false
	}
	return name[len(prefix):], true
}

// addMap gives the errand the map of session values.
func addMap(m *descriptorpb.DescriptorProto) {
	text := func(name string, number int32) *descriptorpb.FieldDescriptorProto {
		return &descriptorpb.FieldDescriptorProto{
			Name:   proto.String(name),
			Number: proto.Int32(number),
			Label:  descriptorpb.FieldDescriptorProto_LABEL_OPTIONAL.Enum(),
			Type:   descriptorpb.FieldDescriptorProto_TYPE_STRING.Enum(),
		}
	}
	m.NestedType = append(m.NestedType, &descriptorpb.DescriptorProto{
		Name: proto.String("ValuesEntry"),
		Field: []*descriptorpb.FieldDescriptorProto{
			text("key", 1),
			text("value", 2),
		},
		Options: &descriptorpb.MessageOptions{
			MapEntry: proto.Bool(true),
		},
	})
	for _, f := range m.GetField() {
		if f.GetName() == "values" {
			f.TypeName = proto.String(".wasabislip.v1.Errand.ValuesEntry")
		}
	}
}

// Guards against hosts that don't understand those of builds whose messages had strings for
// what is bytes now.
func TestEarlierBuilds(t *testing.T) {
	for name, m := range map[protoreflect.Name]proto.Message{
		"Errand": &wasabislipv1.Errand{
			Kind:      1,
			Instance:  "i-1",
			Workspace: "w",
			Values: hostpb.ValuesToProto(map[string]string{
				"note":  "thé",
				"empty": "",
			}),
			Statement: &wasabislipv1.ErrandQuery{
				Id:    []byte("c1-1"),
				Kind:  3,
				Text:  []byte("WRITE item a\nb"),
				Name:  []byte("s"),
				Value: []byte("WRITE q1"),
				Args:  []byte("item a"),
			},
			Prepared: []byte("WRITE q1"),
			Level:    2,
		},
		"ErrandAnswer": &wasabislipv1.ErrandAnswer{
			Rows:      [][]byte{[]byte("a"), {}, []byte("b c")},
			Signature: []byte("7.1f3"),
			Message:   []byte("thé"),
			Fault:     "bad-request",
			Reason:    []byte("no"),
			Load: &wasabislipv1.InstanceLoad{
				Instance: "i-1",
			},
		},
	} {
		t.Run(string(name), func(t *testing.T) {
			is := is.New(t)
			sent, err := proto.Marshal(m)
			is.NoErr(err)
			old := dynamicpb.NewMessage(earlier(is, name))
			is.NoErr(proto.Unmarshal(sent, old))
			is.Equal(len(old.GetUnknown()), 0)
			returned, err := proto.Marshal(old)
			is.NoErr(err)
			got := m.ProtoReflect().New().Interface()
			is.NoErr(proto.Unmarshal(returned, got))
			if e, ok := got.(*wasabislipv1.Errand); ok {
				want := m.(*wasabislipv1.Errand)
				is.Equal(hostpb.ValuesFromProto(e.GetValues()), hostpb.ValuesFromProto(want.GetValues()))
				e.Values = want.GetValues() // a map has no order
			}
			is.True(proto.Equal(got, m))
		})
	}
}
