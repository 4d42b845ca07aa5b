package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// requireToken returns a handler that rejects requests without the token. Both tokens are hashed
// before the constant-time comparison, so that neither the content nor the length of the token can
// be inferred from the response time.
func requireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(given))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 || !isBearer {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, Error{Code: CodeUnauthorized, Message: "the operators' token is missing or invalid"})
			return
		}
		next.ServeHTTP(w, r)
	})
}
