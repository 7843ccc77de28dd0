// Package table reads and writes rows of the platform's table through the
// DynamoDB API. Writes are conditional on a row's version, and a write that is sent
// again takes effect once.
package table

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"golang.org/x/time/rate"

	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// maxAttempts bounds the attempts of one call. Each may take 1/attemptDivisor
	// of the time that is left.
	maxAttempts    = 4
	attemptDivisor = 2
	// retryBackoff is the wait before the first retry; it grows linearly.
	retryBackoff = 50 * time.Millisecond
	// retriesPerSecond and retryBurst limit the retries of all calls together.
	retriesPerSecond = 5
	retryBurst       = 10
)

// Table is the platform's table. Every call ends by its deadline. All calls share
// one retry budget. It is safe for concurrent use.
type Table struct {
	client  *dynamodb.Client
	name    string
	timeout time.Duration
	retries *rate.Limiter
}

// New returns the table called name.
func New(a access.Access, name string) *Table {
	return &Table{
		client:  dynamodb.NewFromConfig(a.Config()),
		name:    name,
		timeout: a.CallTimeout(),
		retries: rate.NewLimiter(retriesPerSecond, retryBurst),
	}
}

// Get reads a row with strong consistency. The version is 0 when the row is
// absent. The error is fault.Platform.
func (t *Table) Get(ctx context.Context, class, name string) (record.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	var row record.Record
	err := t.retryRead(ctx, func(ctx context.Context) error {
		var err error
		row, err = t.read(ctx, class, name)
		return err
	})
	if err != nil {
		return record.Record{}, unavailable("the platform's table did not answer a read", err)
	}
	return row, nil
}

// List returns the rows of class, ordered by name, with strong consistency. The
// error is fault.Platform.
func (t *Table) List(ctx context.Context, class string) ([]record.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	var rows []record.Record
	var start map[string]types.AttributeValue
	for {
		var page *dynamodb.QueryOutput
		err := t.retryRead(ctx, func(ctx context.Context) error {
			var err error
			page, err = t.client.Query(ctx, t.query(class, start))
			return err
		})
		if err != nil {
			return nil, unavailable("the platform's table did not answer a read", err)
		}
		for _, item := range page.Items {
			row, err := decode(item)
			if err != nil {
				return nil, unavailable("the platform's table holds a row that cannot be read", err)
			}
			rows = append(rows, row)
		}
		if len(page.LastEvaluatedKey) == 0 {
			return rows, nil
		}
		start = page.LastEvaluatedKey
	}
}

// Put writes rec as version expect+1 if the row is at version expect; expect 0
// means that the row is absent. rec.Request must be set, and unique to this
// change. Put is idempotent: it succeeds when the row holds this change already.
// The error is fault.Conflict when another change came first, or fault.Platform,
// whose text says if the change may have taken effect.
func (t *Table) Put(ctx context.Context, rec record.Record, expect uint64) error {
	if rec.Request == "" {
		return fault.New(fault.BadRequest, "the change has no request id", "set Request to a unique value")
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	rec.Version = expect + 1
	inDoubt := false
	for n := range maxAttempts {
		if n > 0 && !t.mayRetry(ctx, n) {
			break
		}
		err := t.write(ctx, rec, expect)
		if err == nil {
			return nil
		}
		var failed *types.ConditionalCheckFailedException
		if errors.As(err, &failed) && !inDoubt {
			return t.resolveConflict(ctx, rec)
		}
		inDoubt = inDoubt || !neverSent(err)
		if !inDoubt {
			continue
		}
		known, err := t.readOutcome(ctx, rec)
		if known {
			return err
		}
	}
	if inDoubt {
		return outcomeUnknown(nil)
	}
	return unavailable("the platform's table could not be reached, and the change did not run", ctx.Err())
}

// attemptTimeout returns how long one attempt may take: a fraction of the time that
// is left of the call. A slow platform gets time to answer, and after a lost answer
// there is time for a retry.
func attemptTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return access.DefaultTimeout
	}
	return time.Until(deadline) / attemptDivisor
}

// resolveConflict reads the row after its version did not match. It returns nil
// when an earlier call has written this very change, and a conflict otherwise.
func (t *Table) resolveConflict(ctx context.Context, rec record.Record) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout(ctx))
	defer cancel()
	row, err := t.read(ctx, rec.Class, rec.Name)
	if err != nil {
		return outcomeUnknown(err)
	}
	if row.Request == rec.Request {
		return nil
	}
	return conflict(rec)
}

// readOutcome reads the row after a write that got no answer. It reports whether
// the outcome of the write is known, and the error to return if so. When the row
// is still at the version before the write, the write may be in flight. Sending it
// again is safe because only one of the two can succeed.
func (t *Table) readOutcome(ctx context.Context, rec record.Record) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout(ctx))
	defer cancel()
	row, err := t.read(ctx, rec.Class, rec.Name)
	if err != nil {
		return false, err
	}
	switch {
	case row.Request == rec.Request:
		return true, nil
	case row.Version == rec.Version:
		return true, conflict(rec)
	case row.Version > rec.Version:
		return true, outcomeUnknown(nil)
	}
	return false, nil
}

// read makes one attempt to read a row.
func (t *Table) read(ctx context.Context, class, name string) (record.Record, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.name),
		Key:            key(class, name),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return record.Record{}, err
	}
	if len(out.Item) == 0 {
		return record.Record{
			Class: class,
			Name:  name,
		}, nil
	}
	return decode(out.Item)
}

// write makes one attempt to write rec, on condition that the row is at version
// expect.
func (t *Table) write(ctx context.Context, rec record.Record, expect uint64) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout(ctx))
	defer cancel()
	in := &dynamodb.PutItemInput{
		TableName:           aws.String(t.name),
		Item:                encode(rec),
		ConditionExpression: aws.String("attribute_not_exists(#v)"),
		ExpressionAttributeNames: map[string]string{
			"#v": versionField,
		},
	}
	if expect > 0 {
		in.ConditionExpression = aws.String("#v = :v")
		in.ExpressionAttributeValues = map[string]types.AttributeValue{
			":v": numberAttribute(expect),
		}
	}
	_, err := t.client.PutItem(ctx, in)
	return err
}

// query returns the query for the rows of class that come after start.
func (t *Table) query(class string, start map[string]types.AttributeValue) *dynamodb.QueryInput {
	return &dynamodb.QueryInput{
		TableName:              aws.String(t.name),
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String("#c = :c"),
		ExpressionAttributeNames: map[string]string{
			"#c": classField,
		},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":c": stringAttribute(class),
		},
		ExclusiveStartKey: start,
	}
}

// retryRead runs read until it succeeds, within maxAttempts and the retry budget.
func (t *Table) retryRead(ctx context.Context, read func(ctx context.Context) error) error {
	var err error
	for n := range maxAttempts {
		if n > 0 && !t.mayRetry(ctx, n) {
			break
		}
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout(ctx))
		err = read(attempt)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// mayRetry takes retry n from the budget and waits for its backoff. It returns
// false when the budget is used up or ctx ends.
func (t *Table) mayRetry(ctx context.Context, n int) bool {
	if !t.retries.Allow() {
		return false
	}
	timer := time.NewTimer(time.Duration(n) * retryBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// neverSent reports whether the request cannot have reached the platform, because
// no connection was opened.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// conflict returns the fault for a row that another change has reached first.
func conflict(rec record.Record) error {
	return fault.New(fault.Conflict,
		"another change of "+rec.Class+"/"+rec.Name+" came before version "+strconv.FormatUint(rec.Version, 10),
		"read the row and decide anew")
}

// outcomeUnknown returns the fault for a write that may have taken effect.
func outcomeUnknown(err error) error {
	return fault.New(fault.Platform,
		"the platform's table did not answer, and the change may have taken effect",
		"read the row before the next change").Wrap(err)
}

// unavailable returns the fault for a read that failed, or for a write that has
// surely not taken effect.
func unavailable(reason string, err error) error {
	return fault.New(fault.Platform, reason, "try again once the platform answers").Wrap(err)
}
