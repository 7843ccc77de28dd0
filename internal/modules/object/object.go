// Package object reads and writes objects in the platform's object store
// through the S3 API.
package object

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// NotFound is the fault kind of an absent object.
const NotFound = "object-not-found"

const (
	// maxAttempts bounds the attempts of one call, which get equal parts of its
	// timeout.
	maxAttempts = 2
	// maxObjectBytes bounds the memory that a read takes.
	maxObjectBytes = 16 << 20
)

// Store is one bucket. Every call ends by its deadline. It is safe for concurrent
// use.
type Store struct {
	client  *s3.Client
	bucket  string
	timeout time.Duration
}

// New returns the store that keeps its objects in bucket.
func New(a access.Access, bucket string) *Store {
	return &Store{
		client: s3.NewFromConfig(a.Config(), func(o *s3.Options) {
			o.UsePathStyle = true
		}),
		bucket:  bucket,
		timeout: a.CallTimeout(),
	}
}

// Put writes an object. It is idempotent, and retried once. The error is
// fault.Platform.
func (s *Store) Put(ctx context.Context, name string, body []byte) error {
	err := s.retry(ctx, func(ctx context.Context) error {
		_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String(s.bucket),
			Key:    aws.String(name),
			Body:   bytes.NewReader(body),
		})
		return err
	})
	if err != nil {
		return fault.New(fault.Platform,
			"the platform's object store did not confirm the write of "+name,
			"write it again once the platform answers").Wrap(err)
	}
	return nil
}

// Get returns the body of an object. The error is NotFound or fault.Platform.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := s.retry(ctx, func(ctx context.Context) error {
		var err error
		body, err = s.read(ctx, name)
		return err
	})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, fault.New(NotFound, "the object store has no "+name, "check the name").Wrap(err)
	}
	if err != nil {
		return nil, fault.New(fault.Platform,
			"the platform's object store did not answer the read of "+name,
			"try again once the platform answers").Wrap(err)
	}
	return body, nil
}

// read makes one attempt to read an object.
func (s *Store) read(ctx context.Context, name string) ([]byte, error) {
	out, err := s.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(name),
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes+1))
	if err == nil && len(body) > maxObjectBytes {
		return nil, errors.New("object: " + name + " is too large")
	}
	return body, err
}

// retry runs call until it succeeds, finds that the object is absent, or has made
// maxAttempts attempts.
func (s *Store) retry(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var err error
	for range maxAttempts {
		attempt, stop := context.WithTimeout(ctx, s.timeout/maxAttempts)
		err = call(attempt)
		stop()
		var missing *types.NoSuchKey
		if err == nil || errors.As(err, &missing) || ctx.Err() != nil {
			return err
		}
	}
	return err
}
