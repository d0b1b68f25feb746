package daemon

import (
	"waxwingpick/io/mtls"
	"waxwingpick/io/yaml"
)

// EntrySettings is the settings file of an entry.
type EntrySettings struct {
	Fleet            string `yaml:"fleet" validate:"max=64,excludesall=/"`
	Instance         string `yaml:"instance" validate:"required,max=128"`
	AvailabilityZone string `yaml:"availabilityZone" validate:"required,max=64"`
	Listen           string `yaml:"listen" validate:"required,ip_port"`
	Control          string `yaml:"control" validate:"required,ip_port"`
	KeyValue         string `yaml:"keyValue" validate:"required,ip_port"`
	Platform         string `yaml:"platform" validate:"required,ip_port"`
	OwnList          bool   `yaml:"ownList"`
	MaxBodyBytes     int    `yaml:"maxBodyBytes" validate:"min=0,max=67108864"`
	MemoryBytes      int    `yaml:"memoryBytes" validate:"omitempty,min=33554432,max=17179869184"`
	LameDuckSeconds  int    `yaml:"lameDuckSeconds" validate:"min=0,max=300"`
	LogLevel         string `yaml:"logLevel" validate:"omitempty,oneof=debug info warning error"`
	// TLS is towards the other processes, CallerTLS towards callers.
	TLS       *TLSSettings       `yaml:"tls"`
	CallerTLS *CallerTLSSettings `yaml:"callerTls"`
}

// SidecarSettings is the settings file of a sidecar.
type SidecarSettings struct {
	Fleet            string `yaml:"fleet" validate:"max=64,excludesall=/"`
	Instance         string `yaml:"instance" validate:"required,max=128"`
	Target           string `yaml:"target" validate:"required,max=128"`
	Service          string `yaml:"service" validate:"required,max=64"`
	Kind             string `yaml:"kind" validate:"oneof=engine plain"`
	AvailabilityZone string `yaml:"availabilityZone" validate:"required,max=64"`
	Control          string `yaml:"control" validate:"required,ip_port"`
	Data             string `yaml:"data" validate:"required,ip_port"`
	KeyValue         string `yaml:"keyValue" validate:"required,ip_port"`
	Platform         string `yaml:"platform" validate:"required,ip_port"`
	OwnList          bool   `yaml:"ownList"`
	TargetAddress    string `yaml:"targetAddress" validate:"required,ip_port"`
	MaxBodyBytes     int    `yaml:"maxBodyBytes" validate:"min=0,max=67108864"`
	MemoryBytes      int    `yaml:"memoryBytes" validate:"omitempty,min=33554432,max=17179869184"`
	OrderAnswerBytes int    `yaml:"orderAnswerBytes" validate:"omitempty,min=65536,max=1073741824"`
	MaxConcurrent    int    `yaml:"maxConcurrent" validate:"min=0,max=65536"`
	Pieces           int    `yaml:"pieces" validate:"min=0"`
	PieceTokens      int    `yaml:"pieceTokens" validate:"min=0"`
	LogLevel         string `yaml:"logLevel" validate:"omitempty,oneof=debug info warning error"`
	// TLS is towards the other processes.
	TLS *TLSSettings `yaml:"tls"`
}

// OperatorSettings is the settings file of the operators' client, which needs it where entries require TLS.
type OperatorSettings struct {
	Fleet string       `yaml:"fleet" validate:"max=64,excludesall=/"`
	TLS   *TLSSettings `yaml:"tls" validate:"required"`
}

// Check returns what is wrong with the certificates that the settings name.
func (s EntrySettings) Check() []yaml.Problem {
	_, problems := s.Certificates()
	return problems
}

// Check returns what is wrong with the certificate that the settings name.
func (s SidecarSettings) Check() []yaml.Problem {
	_, problems := s.Certificates()
	return problems
}

// Check returns what is wrong with the certificate that the settings name.
func (s OperatorSettings) Check() []yaml.Problem {
	_, problems := s.Certificates()
	return problems
}

// Certificates returns the certificates that the settings name, and what is wrong with them.
func (s EntrySettings) Certificates() ([]Certificate, []yaml.Problem) {
	return inspect(s.TLS.section(s.identity()), s.CallerTLS.section())
}

// Certificates returns the certificate that the settings name, and what is wrong with it.
func (s SidecarSettings) Certificates() ([]Certificate, []yaml.Problem) {
	return inspect(s.TLS.section(s.identity()))
}

// Certificates returns the certificate that the settings name, and what is wrong with it.
func (s OperatorSettings) Certificates() ([]Certificate, []yaml.Problem) {
	return inspect(s.TLS.section(s.identity()))
}

func (s EntrySettings) identity() mtls.Identity { return mtls.NewIdentity(s.Fleet, mtls.RoleEntry) }

func (s SidecarSettings) identity() mtls.Identity { return mtls.NewIdentity(s.Fleet, mtls.RoleSidecar) }

func (s OperatorSettings) identity() mtls.Identity {
	return mtls.NewIdentity(s.Fleet, mtls.RoleOperator)
}

func (s EntrySettings) logLevel() string { return s.LogLevel }

func (s EntrySettings) memory() int { return s.MemoryBytes }

func (s EntrySettings) connections() (keyValue, platform string) { return s.KeyValue, s.Platform }

func (s SidecarSettings) logLevel() string { return s.LogLevel }

func (s SidecarSettings) memory() int { return s.MemoryBytes }

func (s SidecarSettings) connections() (keyValue, platform string) { return s.KeyValue, s.Platform }
