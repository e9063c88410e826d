package schema

import (
	"testing"

	"github.com/bufbuild/protocompile"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/testing/protocmp"
)

// TestGeneratedCodeIsCurrent compiles the schema and compares it with the generated code.
func TestGeneratedCodeIsCurrent(t *testing.T) {
	for name, generated := range map[string]protoreflect.FileDescriptor{
		"settings.proto": File_settings_proto, "config.proto": File_config_proto,
		"replication.proto": File_replication_proto, "internal.proto": File_internal_proto,
		"gateway.proto": File_gateway_proto,
	} {
		c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}}
		files, err := c.Compile(t.Context(), name)
		if err != nil {
			t.Fatal(err)
		}
		want, got := protodesc.ToFileDescriptorProto(files[0]), protodesc.ToFileDescriptorProto(generated)
		if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
			t.Errorf("%s: run go generate: -schema +generated:\n%s", name, diff)
		}
	}
}
