// Package access holds the address and credentials of the platform's services and
// makes the configuration of their AWS SDK clients.
package access

import (
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
)

// DefaultTimeout bounds a call, including its retries, when Timeout is 0.
const DefaultTimeout = 2 * time.Second

const (
	placeholderCredential = "none"
	defaultRegion         = "local"
	maxIdlePerHost        = 8
	idleTimeout           = 90 * time.Second
)

// Access is how to reach one of the platform's services.
type Access struct {
	// Endpoint is the base URL, http://ip:port.
	Endpoint string
	// Region is the region that requests are signed for; a default applies when
	// it is empty.
	Region string
	// KeyID is the id of the access key. When it is empty, requests are signed with
	// a placeholder, which works on a platform that checks no signatures.
	KeyID string
	// Secret is the secret access key.
	Secret string
	// Timeout bounds a call, including its retries; 0 means DefaultTimeout.
	Timeout time.Duration
	// Client sends the requests; nil means a new client.
	Client *http.Client
}

// CallTimeout returns the timeout of a call, including its retries.
func (a Access) CallTimeout() time.Duration {
	if a.Timeout > 0 {
		return a.Timeout
	}
	return DefaultTimeout
}

// Config returns the configuration of an SDK client. The client never retries: only
// the code that uses it knows which requests are safe to repeat.
func (a Access) Config() aws.Config {
	region := a.Region
	if region == "" {
		region = defaultRegion
	}
	id, secret := a.KeyID, a.Secret
	if id == "" {
		id, secret = placeholderCredential, placeholderCredential
	}
	return aws.Config{
		Region:                     region,
		BaseEndpoint:               aws.String(a.Endpoint),
		Credentials:                credentials.NewStaticCredentialsProvider(id, secret, ""),
		HTTPClient:                 a.client(),
		Retryer:                    func() aws.Retryer { return aws.NopRetryer{} },
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	}
}

func (a Access) client() *http.Client {
	if a.Client != nil {
		return a.Client
	}
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
		},
	}
}
