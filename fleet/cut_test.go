package fleet

import (
	"fmt"
	"testing"

	"github.com/cairnworks/cairnworks/loopback/cutproxy"
	"github.com/cairnworks/cairnworks/port"
)

// Guards against records of another instance that stop anywhere in the answer and are taken for whole ones.
func TestFetchedRecordCutShortIsError(t *testing.T) {
	_, address := startServing(t, 3, port.KeyedRecord{Key: "config", Value: []byte("routes"), Offset: 7})
	client, _ := startServing(t, 3, port.KeyedRecord{})
	proxy := cutproxy.Start(t, address)
	proxy.Each(t, func() (string, error) {
		note, err := client.Fetch(t.Context(), proxy.Address, port.TopicConfiguration, 5)
		return fmt.Sprint(note), err
	})
}
