package daemon

import (
	"waxwingpick/io/mtls"
	"waxwingpick/io/yaml"
)

// EntrySettings is the content of an entry's settings file.
type EntrySettings struct {
	Fleet            string `yaml:"fleet" validate:"max=64,excludesall=/"`
	Instance         string `yaml:"instance" validate:"required,max=128"`
	AvailabilityZone string `yaml:"availabilityZone" validate:"required,max=64"`
	Listen           string `yaml:"listen" validate:"required,ip_port"`
	Control          string `yaml:"control" validate:"required,ip_port"`
	KeyValue         string `yaml:"keyValue" validate:"required,ip_port"`
	Platform         string `yaml:"platform" validate:"required,ip_port"`
	IndependentList  bool   `yaml:"ownList"`
	MaxBodyBytes     int    `yaml:"maxBodyBytes" validate:"min=0,max=67108864"`
	MemoryBytes      int    `yaml:"memoryBytes" validate:"omitempty,min=33554432,max=17179869184"`
	LameDuckSeconds  int    `yaml:"lameDuckSeconds" validate:"min=0,max=300"`
	LogLevel         string `yaml:"logLevel" validate:"omitempty,oneof=debug info warning error"`
	// TLS applies to connections between processes, CallerTLS to connections from callers.
	TLS       *TLSSettings       `yaml:"tls"`
	CallerTLS *CallerTLSSettings `yaml:"callerTls"`
}

// SidecarSettings is the content of a sidecar's settings file.
type SidecarSettings struct {
	Fleet              string `yaml:"fleet" validate:"max=64,excludesall=/"`
	Instance           string `yaml:"instance" validate:"required,max=128"`
	Target             string `yaml:"target" validate:"required,max=128"`
	Service            string `yaml:"service" validate:"required,max=64"`
	Kind               string `yaml:"kind" validate:"oneof=engine plain"`
	AvailabilityZone   string `yaml:"availabilityZone" validate:"required,max=64"`
	Control            string `yaml:"control" validate:"required,ip_port"`
	Data               string `yaml:"data" validate:"required,ip_port"`
	KeyValue           string `yaml:"keyValue" validate:"required,ip_port"`
	Platform           string `yaml:"platform" validate:"required,ip_port"`
	IndependentList    bool   `yaml:"ownList"`
	TargetAddress      string `yaml:"targetAddress" validate:"required,ip_port"`
	MaxBodyBytes       int    `yaml:"maxBodyBytes" validate:"min=0,max=67108864"`
	MemoryBytes        int    `yaml:"memoryBytes" validate:"omitempty,min=33554432,max=17179869184"`
	OrderResponseBytes int    `yaml:"orderAnswerBytes" validate:"omitempty,min=65536,max=1073741824"`
	MaxConcurrent      int    `yaml:"maxConcurrent" validate:"min=0,max=65536"`
	Pieces             int    `yaml:"pieces" validate:"min=0"`
	PieceTokens        int    `yaml:"pieceTokens" validate:"min=0"`
	LogLevel           string `yaml:"logLevel" validate:"omitempty,oneof=debug info warning error"`
	// TLS applies to connections between processes.
	TLS *TLSSettings `yaml:"tls"`
}

// OperatorSettings is the content of the settings file of the operators' client. The client needs it if entries require
// TLS.
type OperatorSettings struct {
	Fleet string       `yaml:"fleet" validate:"max=64,excludesall=/"`
	TLS   *TLSSettings `yaml:"tls" validate:"required"`
}

// Check loads the certificates named in the settings and returns the problems found.
func (s EntrySettings) Check() []yaml.Problem {
	_, problems := s.Certificates()
	return problems
}

// Check loads the certificate named in the settings and returns the problems found.
func (s SidecarSettings) Check() []yaml.Problem {
	_, problems := s.Certificates()
	return problems
}

// Check loads the certificate named in the settings and returns the problems found.
func (s OperatorSettings) Check() []yaml.Problem {
	_, problems := s.Certificates()
	return problems
}

// Certificates returns the certificates named in the settings, and the problems with those that cannot be loaded.
func (s EntrySettings) Certificates() ([]Certificate, []yaml.Problem) {
	return loadCertificates(s.TLS.credentialsSection(s.identity()), s.CallerTLS.credentialsSection())
}

// Certificates returns the certificate named in the settings, or the problem if it cannot be loaded.
func (s SidecarSettings) Certificates() ([]Certificate, []yaml.Problem) {
	return loadCertificates(s.TLS.credentialsSection(s.identity()))
}

// Certificates returns the certificate named in the settings, or the problem if it cannot be loaded.
func (s OperatorSettings) Certificates() ([]Certificate, []yaml.Problem) {
	return loadCertificates(s.TLS.credentialsSection(s.identity()))
}

func (s EntrySettings) identity() mtls.Identity { return mtls.NewIdentity(s.Fleet, mtls.RoleEntry) }

func (s SidecarSettings) identity() mtls.Identity { return mtls.NewIdentity(s.Fleet, mtls.RoleSidecar) }

func (s OperatorSettings) identity() mtls.Identity {
	return mtls.NewIdentity(s.Fleet, mtls.RoleOperator)
}

func (s EntrySettings) logLevel() string { return s.LogLevel }

func (s EntrySettings) memoryLimit() int { return s.MemoryBytes }

func (s EntrySettings) addresses() (keyValue, platform string) { return s.KeyValue, s.Platform }

func (s SidecarSettings) logLevel() string { return s.LogLevel }

func (s SidecarSettings) memoryLimit() int { return s.MemoryBytes }

func (s SidecarSettings) addresses() (keyValue, platform string) { return s.KeyValue, s.Platform }
