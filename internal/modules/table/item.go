package table

import (
	"fmt"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"wasabislip.example/wasabislip/internal/models/record"
)

// Attributes of the item that stores a row.
const (
	classField   = "class"
	nameField    = "name"
	versionField = "version"
	bodyField    = "body"
	requestField = "request"
)

// key returns the primary key of a row.
func key(class, name string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		classField: stringAttribute(class),
		nameField:  stringAttribute(name),
	}
}

// encode returns the item that stores rec.
func encode(rec record.Record) map[string]types.AttributeValue {
	item := key(rec.Class, rec.Name)
	item[versionField] = numberAttribute(rec.Version)
	item[requestField] = stringAttribute(rec.Request)
	item[bodyField] = &types.AttributeValueMemberB{
		Value: rec.Body,
	}
	return item
}

// decode returns the row that an item stores.
func decode(item map[string]types.AttributeValue) (record.Record, error) {
	version, ok := item[versionField].(*types.AttributeValueMemberN)
	if !ok {
		return record.Record{}, fmt.Errorf("table: an item has no %s", versionField)
	}
	n, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return record.Record{}, fmt.Errorf("table: %s: %w", versionField, err)
	}
	rec := record.Record{
		Class:   stringValue(item[classField]),
		Name:    stringValue(item[nameField]),
		Version: n,
		Request: stringValue(item[requestField]),
	}
	if body, ok := item[bodyField].(*types.AttributeValueMemberB); ok {
		rec.Body = body.Value
	}
	return rec, nil
}

func stringAttribute(s string) types.AttributeValue {
	return &types.AttributeValueMemberS{
		Value: s,
	}
}

func numberAttribute(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{
		Value: strconv.FormatUint(n, 10),
	}
}

// stringValue returns the text of a string attribute, or "" for any other.
func stringValue(v types.AttributeValue) string {
	if s, ok := v.(*types.AttributeValueMemberS); ok {
		return s.Value
	}
	return ""
}
