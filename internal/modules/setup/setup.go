// Package setup reads the settings of one host of the command serve from a YAML
// file. See package conf for the settings of the command edge.
package setup

import (
	"os"
	"time"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Settings are the settings of one host. What all hosts share is in the operators'
// configuration file instead.
type Settings struct {
	// Host names this host; unique in the fleet.
	Host string `yaml:"host"`
	// DataCentre names the host's data centre.
	DataCentre string `yaml:"data-centre"`
	// CallerAddress is where callers connect with the PostgreSQL protocol, ip:port.
	CallerAddress string `yaml:"caller-address"`
	// PeerAddress is where other hosts and operators connect, ip:port.
	PeerAddress string `yaml:"peer-address"`
	// OpsAddress serves /metrics, /healthz and /readyz, ip:port.
	OpsAddress string `yaml:"ops-address"`
	// Seeds are peer addresses of some hosts of the fleet.
	Seeds []string `yaml:"seeds"`
	// Platform says where the platform's services are and how to log in to them.
	Platform platform `yaml:"platform"`
	// Database says how the host connects to database instances.
	Database database `yaml:"database"`
	// Callers sets up TLS on the callers' port.
	Callers callers `yaml:"callers"`
	// Peers sets up mutual TLS on the port between hosts.
	Peers peers `yaml:"peers"`
	// Limits bounds what callers may use of the host.
	Limits limits `yaml:"limits"`
	// Timeouts bounds waits for callers, instances and a planned stop.
	Timeouts timeouts `yaml:"timeouts"`
	// Fleet sets the timing of gossip between hosts.
	Fleet fleet `yaml:"fleet"`
	// Configuration sets how the host follows new versions of the operators'
	// configuration file.
	Configuration configuration `yaml:"configuration"`
	// Log limits the rate of log lines.
	Log log `yaml:"log"`
}

type platform struct {
	// TableEndpoint is the table service's URL.
	TableEndpoint string `yaml:"table-endpoint"`
	// Table is the table's name.
	Table string `yaml:"table"`
	// ObjectEndpoint is the object store's URL.
	ObjectEndpoint string `yaml:"object-endpoint"`
	// Bucket is the object store's bucket.
	Bucket string `yaml:"bucket"`
	// Region is the signing region of requests.
	Region string `yaml:"region"`
	// CredentialsFile holds two lines: access key id and secret access key.
	CredentialsFile string `yaml:"credentials-file"`
	// Timeout bounds one request.
	Timeout time.Duration `yaml:"timeout"`
}

type database struct {
	// User is the role that the host logs in with.
	User string `yaml:"user"`
	// PasswordFile holds that role's password.
	PasswordFile string `yaml:"password-file"`
	// ConnectTimeout bounds the time to open one connection.
	ConnectTimeout time.Duration `yaml:"connect-timeout"`
	// PollInterval is the time between two polls of the log positions of a
	// database's instances.
	PollInterval time.Duration `yaml:"poll-interval"`
}

type callers struct {
	// Plain turns TLS off; allowed on loopback addresses only.
	Plain bool `yaml:"plain"`
	// CertFile is the certificate chain shown to callers, PEM.
	CertFile string `yaml:"cert-file"`
	// KeyFile is its private key, PEM.
	KeyFile string `yaml:"key-file"`
}

type peers struct {
	// Plain turns TLS off; allowed on loopback addresses only.
	Plain bool `yaml:"plain"`
	// CertFile is this host's certificate chain, PEM.
	CertFile string `yaml:"cert-file"`
	// KeyFile is its private key, PEM.
	KeyFile string `yaml:"key-file"`
	// CAFile holds the certificate of the authority (CA) that signs the
	// certificates of hosts and operators, PEM.
	CAFile string `yaml:"ca-file"`
}

type limits struct {
	// Connections is how many callers may be connected at once.
	Connections int `yaml:"connections"`
	// ConnectionsPerWorkspace is how many callers of one workspace may be
	// connected at once.
	ConnectionsPerWorkspace int `yaml:"connections-per-workspace"`
	// KeylessRate is how many statements a second all callers without a key may
	// run on this host.
	KeylessRate float64 `yaml:"open-rate"`
	// MessageSize bounds one message of a caller, in bytes.
	MessageSize int64 `yaml:"message-size" unit:"bytes"`
	// BatchSize bounds one batch of messages, in bytes.
	BatchSize int64 `yaml:"batch-size" unit:"bytes"`
	// PreparedStatements is how many prepared statements one caller may have.
	PreparedStatements int `yaml:"statements"`
	// QueueLength is how many runs (transactions or batches) may wait for one
	// database.
	QueueLength int `yaml:"queue-length"`
	// Memory is the heap size from which on new callers are refused, in bytes.
	Memory int64 `yaml:"memory" unit:"bytes"`
}

type timeouts struct {
	// Login bounds a caller's start-up and authentication.
	Login time.Duration `yaml:"login"`
	// Idle is how long a caller may send nothing outside a transaction before it
	// is disconnected.
	Idle time.Duration `yaml:"idle"`
	// IdleInTransaction is how long a caller may send nothing within a transaction
	// before the transaction is ended.
	IdleInTransaction time.Duration `yaml:"idle-in-transaction"`
	// Statement bounds one batch whose route has no timeout of its own.
	Statement time.Duration `yaml:"statement"`
	// Confirm bounds the wait until a majority of instances has a commit.
	Confirm time.Duration `yaml:"confirm"`
	// Queue bounds the wait for a slot, that is for one of the statements that may
	// run at once on an instance.
	Queue time.Duration `yaml:"queue"`
	// Write bounds one write to a caller that reads slowly.
	Write time.Duration `yaml:"write"`
	// BalancerDelay is how long a host that stops goes on accepting callers after
	// it has reported to the load balancer that it is not ready.
	BalancerDelay time.Duration `yaml:"balancer"`
	// Drain bounds the time of a planned stop.
	Drain time.Duration `yaml:"drain"`
}

type fleet struct {
	// Interval is the time between two gossip exchanges with a random peer.
	Interval time.Duration `yaml:"interval"`
	// ProbeTimeout bounds one gossip exchange.
	ProbeTimeout time.Duration `yaml:"probe-timeout"`
	// SuspectTimeout is how long a suspect host may refute the suspicion before it
	// counts as failed.
	SuspectTimeout time.Duration `yaml:"suspect-timeout"`
	// LeaseDuration is how long a host holds the lease on the parts of workspaces'
	// rates whose home it is. The home host of a part owns its token bucket.
	LeaseDuration time.Duration `yaml:"lease"`
}

type configuration struct {
	// ReadsPerSecond limits how often all hosts together read the row that holds
	// the newest version.
	ReadsPerSecond float64 `yaml:"reads-per-second"`
	// Interval is the minimum time between two reads of one host.
	Interval time.Duration `yaml:"interval"`
	// MaxAge is how long a host goes on serving without confirmation that its
	// version is the newest.
	MaxAge time.Duration `yaml:"bound"`
}

type log struct {
	// LinesPerSecond limits the log lines of decisions other than refusals.
	LinesPerSecond int `yaml:"lines-per-second"`
}

// Load reads and checks the settings file. The fault lists every problem, one
// a line.
func Load(name string) (*Settings, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.New(
			fault.BadRequest,
			"settings can't be read: "+err.Error(),
			"name a readable file",
		).Wrap(err)
	}
	return Read(name, body)
}
