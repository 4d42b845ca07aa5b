package instance

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/peer"
	"github.com/cairnworks/cairnworks/settings"
	"github.com/cairnworks/cairnworks/tlsfile"
)

// idleTimeout is the time after which idle connections of callers are closed. It is longer than the
// usual 60 s of load balancers, so that the balancer closes a connection first and does not send a
// request on a connection that is being closed.
const idleTimeout = 90 * time.Second

// listener is a bound address with its server.
type listener struct {
	net.Listener
	server *http.Server
}

func (l *listener) address() string { return l.Addr().String() }

func (l *listener) serve() error {
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(l.Listener, "", "")
	} else {
		err = l.server.Serve(l.Listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return oops.In("instance").With("address", l.address()).Wrap(err)
}

// listeners are the three addresses of an instance. gossip is the UDP socket at the peers' address.
type listeners struct {
	callers, peers, operators *listener
	gossip                    net.PacketConn
}

func (l *listeners) all() []*listener { return []*listener{l.callers, l.peers, l.operators} }

func (l *listeners) close() {
	for _, one := range l.all() {
		if one == nil {
			continue
		}
		if one.server != nil {
			_ = one.server.Close()
		}
		_ = one.Close()
	}
	if l.gossip != nil {
		_ = l.gossip.Close()
	}
}

// listen binds the addresses, so that an address in use is detected before any component starts.
func (i *Instance) listen() error {
	peers, err := listenPeers(i.settings.Peers.Address, net.Listen)
	if err != nil {
		return oops.In("instance").With("address", i.settings.Peers.Address).Wrap(err)
	}
	i.listeners.peers, i.listeners.gossip = &listener{Listener: peers.listener}, peers.packetConn
	for _, a := range []struct {
		target  **listener
		address string
	}{
		{&i.listeners.callers, i.settings.Callers.Address},
		{&i.listeners.operators, i.settings.Operators.Address},
	} {
		bound, err := net.Listen("tcp", a.address)
		if err != nil {
			i.listeners.close()
			return oops.In("instance").With("address", a.address).Wrap(err)
		}
		*a.target = &listener{Listener: bound}
	}
	return nil
}

// buildServers creates the servers of the bound addresses.
func (i *Instance) buildServers(secret string) error {
	callersTLS, err := tlsfile.Server(i.settings.Callers.TLS)
	if err != nil {
		return err
	}
	peersTLS, err := tlsfile.Server(i.settings.Peers.TLS)
	if err != nil {
		return err
	}
	i.listeners.callers.server = callerServer(i.callerHandler, callersTLS, i.settings)
	// Messages that net/http writes itself, such as those for failed TLS handshakes, must also be
	// logged as one key=value line per event.
	errorLog, err := zap.NewStdLogAt(i.log, zap.InfoLevel)
	if err != nil {
		return err
	}
	i.listeners.peers.server = peer.NewServer(i.peerHandler(), peersTLS, secret, peer.WithFleet(i.fleetID))
	operators, err := i.operatorHandler()
	if err != nil {
		return err
	}
	i.listeners.operators.server = &http.Server{Handler: operators, ReadHeaderTimeout: headerTimeout(i.settings)}
	for _, l := range i.listeners.all() {
		l.server.ErrorLog = errorLog
	}
	return nil
}

func callerServer(handler http.Handler, config *tls.Config, s settings.Settings) *http.Server {
	return &http.Server{
		Handler: handler, TLSConfig: config, IdleTimeout: idleTimeout,
		// Without a timeout, a caller that sends its headers byte by byte would hold a connection
		// and a goroutine indefinitely.
		ReadHeaderTimeout: headerTimeout(s), MaxHeaderBytes: 64 << 10,
	}
}

func headerTimeout(s settings.Settings) time.Duration {
	return time.Duration(s.HeaderSeconds) * time.Second
}

// readSecret reads a secret file and strips the trailing newline that editors add. It returns an
// empty secret if no file is given.
func readSecret(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", oops.In("instance").Wrap(err)
	}
	secret := strings.TrimRight(string(data), "\r\n")
	if secret == "" {
		return "", oops.In("instance").With("file", file).Errorf("the secret file is empty")
	}
	return secret, nil
}
