package yaml_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"waxwingpick/core/config"
	"waxwingpick/io/yaml"
)

type settings struct {
	Instance  string `yaml:"instance" validate:"required,max=8"`
	Control   string `yaml:"control" validate:"required,ip_port"`
	MaxQueue  int    `yaml:"maxQueue" validate:"min=0,max=10"`
	LogLevel  string `yaml:"logLevel" validate:"omitempty,oneof=debug info"`
	Unserious bool   `yaml:"unserious"`
}

// TestFaultsAreAllTold compares the errors of each faulty file in testdata with its golden file.
func TestFaultsAreAllTold(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		data, err := yaml.ReadFile(file)
		require.NoError(t, err)
		if strings.HasPrefix(name, "settings") {
			got := settings{
				Instance: "before",
			}
			err = yaml.LoadSettings(file, &got)
			require.Equal(t, "before", got.Instance)
		} else {
			_, err = yaml.DecodeConfig(filepath.Base(file), data)
		}
		var faults *yaml.FileError
		require.ErrorAs(t, err, &faults, name)
		goldie.New(t).Assert(t, name, []byte(faults.Error()))
	}
}

func TestSamplesLoad(t *testing.T) {
	for _, name := range []string{"tanzplan", "cacaotera"} {
		r, err := yaml.LoadConfig("../../config/" + name + ".yaml")
		require.NoError(t, err)
		require.Equal(t, "ordinary", r.InForce)
		require.Len(t, r.Presets, 3)
		require.NotZero(t, r.Presets[0].Classes[0].Deadline)
	}
}

func TestSizeAndDepthAreBounded(t *testing.T) {
	cases := []struct {
		data string
		want string
	}{
		{
			data: "inForce: " + strings.Repeat("a", yaml.MaxSize),
			want: "is larger than",
		},
		{
			data: "presets: " + strings.Repeat("[", yaml.MaxSize/2),
			want: "is nested too deeply",
		},
		{
			data: strings.Repeat("- ", yaml.MaxSize/4) + "a",
			want: "is nested too deeply",
		},
		{
			data: "a: &a [x,x]\nb: &b [*a,*a]\nc: [*b,*b]\n",
			want: "is unknown",
		},
		{
			data: "presets: &a\n  - name: x\nservices: *a\n",
			want: "must not use anchors",
		},
		{
			data: "inForce: a\n---\ninForce: b\n",
			want: "exactly one document",
		},
	}
	for _, tc := range cases {
		_, err := yaml.DecodeConfig("file", []byte(tc.data))
		require.ErrorContains(t, err, tc.want)
	}
	_, err := yaml.LoadConfig("missing.yaml")
	require.ErrorIs(t, err, os.ErrNotExist)
}

func FuzzDecodeConfig(f *testing.F) {
	files, err := filepath.Glob("testdata/*.yaml")
	require.NoError(f, err)
	for _, file := range append(files, "../../config/tanzplan.yaml") {
		data, err := yaml.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := yaml.DecodeConfig("file", data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.NoError(t, config.Validate(r))
	})
}
