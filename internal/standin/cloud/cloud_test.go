package cloud_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/internal/standin/blobs"
	"wasabislip.example/wasabislip/internal/standin/cloud"
)

// start serves a platform over HTTP and returns the clients' configuration and
// the URL.
func start(t *testing.T) (aws.Config, string) {
	t.Helper()
	server := httptest.NewServer(cloud.New())
	t.Cleanup(server.Close)
	a := access.Access{
		Endpoint: server.URL,
		KeyID:    "id",
		Secret:   "secret",
	}
	return a.Config(), server.URL
}

func text(s string) types.AttributeValue {
	return &types.AttributeValueMemberS{
		Value: s,
	}
}

func TestDeleteItem(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cfg, url := start(t)
	client := dynamodb.NewFromConfig(cfg)
	key := map[string]types.AttributeValue{
		"class": text("lease"),
		"name":  text("h1"),
	}
	_, err := client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName: aws.String("t"),
		Item: map[string]types.AttributeValue{
			"class": text("lease"),
			"name":  text("h1"),
			"v":     text("1"),
		},
	})
	is.NoErr(err)
	remove := func(version string) error {
		_, err := client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName:           aws.String("t"),
			Key:                 key,
			ConditionExpression: aws.String("#v = :v"),
			ExpressionAttributeNames: map[string]string{
				"#v": "v",
			},
			ExpressionAttributeValues: map[string]types.AttributeValue{
				":v": text(version),
			},
		})
		return err
	}
	var failed *types.ConditionalCheckFailedException
	is.True(errors.As(remove("2"), &failed))
	is.NoErr(remove("1"))
	is.True(errors.As(remove("1"), &failed))

	resp, err := http.Get(url + cloud.CountsPath)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	counts := map[string]int{}
	is.NoErr(json.NewDecoder(resp.Body).Decode(&counts))
	is.Equal(counts["DeleteItem"], 3)
	is.Equal(counts["table-writes"], 4)
}

func TestListObjects(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cfg, _ := start(t)
	client := s3.NewFromConfig(cfg, func(o *s3.Options) {
		o.UsePathStyle = true
	})
	for n := range 5 {
		_, err := client.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String("b"),
			Key:    aws.String(fmt.Sprintf("config/%d", n)),
			Body:   strings.NewReader("body"),
		})
		is.NoErr(err)
	}
	pages := s3.NewListObjectsV2Paginator(client, &s3.ListObjectsV2Input{
		Bucket:  aws.String("b"),
		Prefix:  aws.String("config/"),
		MaxKeys: aws.Int32(2),
	})
	var names []string
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		is.NoErr(err)
		for _, c := range page.Contents {
			names = append(names, *c.Key)
		}
	}
	is.Equal(strings.Join(names, " "), "config/0 config/1 config/2 config/3 config/4")
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := cloud.New()
		send := func(method, path, body string) string {
			w := httptest.NewRecorder()
			platform.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
			return w.Body.String()
		}
		path := "/b/" + blobs.HostListPath
		send(http.MethodPut, path, "old")
		time.Sleep(time.Minute)
		send(http.MethodPut, path, "new")
		is.Equal(send(http.MethodGet, path, ""), "new")
		send(http.MethodPost, cloud.FaultsPath, `{"class": "object", "hosts-lag": "10s"}`)
		is.Equal(send(http.MethodGet, path, ""), "old")
		time.Sleep(10 * time.Second)
		is.Equal(send(http.MethodGet, path, ""), "new")
	})
}
