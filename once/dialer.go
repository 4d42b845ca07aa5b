package once

import (
	"connectrpc.com/connect"

	"github.com/cairnworks/cairnworks/request"
)

// Dialer returns the HTTP client and base URL for the service of another instance.
type Dialer func(request.Holder) (client connect.HTTPClient, baseURL string)
