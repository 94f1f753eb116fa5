package operate

import (
	"bytes"
	"net/netip"
	"os"
	"path"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/version/answers"
)

// SettingsGenerateCmd is `stoatctl settings generate`.
type SettingsGenerateCmd struct {
	File  string `arg:"" help:"Filled-in questionnaire, in TOML."`
	Host  string `help:"Write the settings of this host to standard output." xor:"where" required:"" placeholder:"NAME"`
	Out   string `help:"Write one file for each host into this directory." xor:"where" required:"" placeholder:"DIR"`
	Force bool   `help:"Overwrite files."`
}

// Help implements kong.HelpProvider.
func (*SettingsGenerateCmd) Help() string {
	return `Examples:

  stoatctl settings generate answers.toml --out settings/
  stoatctl settings generate answers.toml --host entry-1 > stoatmount.toml`
}

// Run writes the settings.
func (c *SettingsGenerateCmd) Run(env *Env) error {
	answered, err := answers.Load(c.File)
	if err != nil {
		return reportProblems(env, c.File, err, false)
	}
	if c.Host != "" {
		return c.writeOne(env, &answered)
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Wrap(err, "write settings")
	}
	for i := range answered.Hosts {
		text, err := settingsTOML(&answered, &answered.Hosts[i])
		if err != nil {
			return err
		}
		file := filepath.Join(c.Out, answered.Hosts[i].Name+".toml")
		if err := writeFile(file, text, c.Force); err != nil {
			return err
		}
		env.printf("%s: written\n", file)
	}
	return nil
}

func (c *SettingsGenerateCmd) writeOne(env *Env, answered *answers.Answers) error {
	for i := range answered.Hosts {
		if answered.Hosts[i].Name != c.Host {
			continue
		}
		text, err := settingsTOML(answered, &answered.Hosts[i])
		if err != nil {
			return err
		}
		env.printf("%s", text)
		return nil
	}
	return errors.Errorf("the questionnaire has no host %q", c.Host)
}

// hostSettings returns the settings of the router on host.
func hostSettings(a *answers.Answers, host *answers.Host) settings.Settings {
	s := settings.Default()
	s.Host = settings.Host{Name: host.Name, Zone: host.Zone, Region: regionOf(a, host.Zone)}
	s.Listen = settings.Listen{
		Caller:   netip.AddrPortFrom(host.Address, uint16(a.Entry.CallerPort)),
		Peer:     netip.AddrPortFrom(host.Address, uint16(a.Entry.PeerPort)),
		Operator: netip.AddrPortFrom(host.Address, uint16(a.Entry.OperatorPort)),
	}
	s.Platform = settings.Platform{Log: a.Platform.Log, Hosts: a.Platform.Hosts, Weights: a.Platform.Weights, TLS: a.Platform.TLS}
	s.Access = settings.Access{
		OperatorKeyHash: a.Entry.OperatorKeySHA256,
		PlaceKeyFile:    a.Entry.PlaceKeyFile,
		OpenOnLoopback:  a.Entry.OpenOnLoopback,
	}
	if directory := a.Entry.Certificates; directory != "" {
		s.TLS = certificatePaths(directory)
	}
	return s
}

// certificatePaths returns the paths of the certificates in a directory of the entry host.
func certificatePaths(directory string) settings.TLS {
	return settings.TLS{
		PeerCert:     path.Join(directory, "peer.pem"),
		PeerKey:      path.Join(directory, "peer.key"),
		PeerCA:       path.Join(directory, "ca.pem"),
		CallerCert:   path.Join(directory, "caller.pem"),
		CallerKey:    path.Join(directory, "caller.key"),
		OperatorCert: path.Join(directory, "operator.pem"),
		OperatorKey:  path.Join(directory, "operator.key"),
	}
}

func regionOf(a *answers.Answers, zone string) string {
	for _, z := range a.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

func settingsTOML(a *answers.Answers, host *answers.Host) ([]byte, error) {
	var text bytes.Buffer
	err := toml.NewEncoder(&text).Encode(hostSettings(a, host))
	return text.Bytes(), errors.Wrap(err, "encode settings")
}
