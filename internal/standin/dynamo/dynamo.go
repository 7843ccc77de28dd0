// Package dynamo serves the part of the DynamoDB JSON protocol that the platform's
// table needs: items with the partition key class and the sort key name.
package dynamo

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"wasabislip.example/wasabislip/internal/standin/faults"
)

const (
	targetPrefix = "DynamoDB_20120810."
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
	pageItems    = 100
	partitionKey = "class"
	sortKey      = "name"
)

// item is one item: its attribute values as the protocol has them.
type item map[string]json.RawMessage

// request has the fields of all operations.
type request struct {
	TableName                 string
	Key                       item
	Item                      item
	ConditionExpression       string
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
}

// apiError is the body of an error response.
type apiError struct {
	Type    string `json:"__type"`
	Message string `json:"message"`
}

// Table holds the items of all tables. It is safe for concurrent use.
type Table struct {
	control *faults.Control

	mu    sync.Mutex
	items map[string]item
}

// New returns an empty table whose faults control sets.
func New(control *faults.Control) *Table {
	return &Table{
		control: control,
		items:   map[string]item{},
	}
}

// ServeHTTP answers one operation.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	operation := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	write := operation == "PutItem" || operation == "DeleteItem"
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		respond(w, http.StatusBadRequest, validationError(err.Error()))
		return
	}
	if !t.control.Admit(w, r, faults.Table, operation, write) {
		return
	}
	body, p := t.run(operation, q)
	if write {
		t.control.MaybeLoseAnswer(faults.Table)
	}
	if p != nil {
		respond(w, http.StatusBadRequest, p)
		return
	}
	respond(w, http.StatusOK, body)
}

func (t *Table) run(operation string, q request) (any, *apiError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch operation {
	case "GetItem":
		return t.get(q), nil
	case "PutItem":
		return t.put(q)
	case "DeleteItem":
		return t.remove(q)
	case "Query":
		return t.query(q)
	}
	return nil, validationError("operation " + operation + " is not supported")
}

func (t *Table) get(q request) any {
	found, ok := t.items[rowKey(q.TableName, q.Key)]
	if !ok {
		return struct{}{}
	}
	return struct{ Item item }{
		Item: found,
	}
}

func (t *Table) put(q request) (any, *apiError) {
	key := rowKey(q.TableName, q.Item)
	if p := t.check(t.items[key], q); p != nil {
		return nil, p
	}
	t.items[key] = q.Item
	return struct{}{}, nil
}

func (t *Table) remove(q request) (any, *apiError) {
	key := rowKey(q.TableName, q.Key)
	if p := t.check(t.items[key], q); p != nil {
		return nil, p
	}
	delete(t.items, key)
	return struct{}{}, nil
}

// check evaluates the condition of a write, attribute_not_exists(a) or a = :v, on
// the current item.
func (t *Table) check(current item, q request) *apiError {
	condition := strings.TrimSpace(q.ConditionExpression)
	if condition == "" {
		return nil
	}
	holds := false
	if inner, ok := strings.CutPrefix(condition, "attribute_not_exists"); ok {
		_, exists := current[attributeName(strings.Trim(inner, " ()"), q)]
		holds = !exists
	} else {
		name, value, ok := strings.Cut(condition, "=")
		if !ok {
			return validationError("condition " + condition + " is not supported")
		}
		want := q.ExpressionAttributeValues[strings.TrimSpace(value)]
		holds = want != nil && bytes.Equal(compact(current[attributeName(name, q)]), compact(want))
	}
	if holds {
		return nil
	}
	return &apiError{
		Type:    errorPrefix + "ConditionalCheckFailedException",
		Message: "The conditional request failed",
	}
}

// page is the response to a query.
type page struct {
	Items            []item
	Count            int
	LastEvaluatedKey item `json:",omitempty"`
}

func (t *Table) query(q request) (any, *apiError) {
	_, value, ok := strings.Cut(q.KeyConditionExpression, "=")
	if !ok {
		return nil, validationError("key condition " + q.KeyConditionExpression + " is not supported")
	}
	partition := item{
		partitionKey: q.ExpressionAttributeValues[strings.TrimSpace(value)],
	}
	prefix := rowKey(q.TableName, partition)
	after := ""
	if q.ExclusiveStartKey != nil {
		after = rowKey(q.TableName, q.ExclusiveStartKey)
	}
	var keys []string
	for k := range t.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return t.page(keys, q.Limit), nil
}

func (t *Table) page(keys []string, limit int) page {
	if limit <= 0 || limit > pageItems {
		limit = pageItems
	}
	p := page{
		Items: []item{},
	}
	for _, k := range keys[:min(limit, len(keys))] {
		p.Items = append(p.Items, t.items[k])
	}
	p.Count = len(p.Items)
	if len(keys) > limit {
		last := p.Items[limit-1]
		p.LastEvaluatedKey = item{
			partitionKey: last[partitionKey],
			sortKey:      last[sortKey],
		}
	}
	return p
}

// rowKey joins the keys of an item so that a partition's keys share a prefix
// and sort by name.
func rowKey(table string, key item) string {
	return table + "\x00" + stringValue(key[partitionKey]) + "\x00" + stringValue(key[sortKey])
}

func stringValue(raw json.RawMessage) string {
	var v struct{ S string }
	_ = json.Unmarshal(raw, &v)
	return v.S
}

// attributeName resolves the placeholder of an attribute's name.
func attributeName(name string, q request) string {
	name = strings.TrimSpace(name)
	if real, ok := q.ExpressionAttributeNames[name]; ok {
		return real
	}
	return name
}

func compact(raw json.RawMessage) []byte {
	var b bytes.Buffer
	_ = json.Compact(&b, raw)
	return b.Bytes()
}

func validationError(message string) *apiError {
	return &apiError{
		Type:    errorPrefix + "ValidationException",
		Message: message,
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
