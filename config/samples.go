package samples

import "embed"

// Files holds tanzplan.yaml and cacaotera.yaml.
//
//go:embed *.yaml
var Files embed.FS
