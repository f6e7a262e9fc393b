package chamber

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"time"

	"sedgespread/internal/council"
	"sedgespread/internal/jsonhttp"
)

// post sends packets to other voters. Each has a queue of its own, so that one that does not answer holds up no other;
// what finds it full is lost, as it might be on its way.
type post struct {
	c      *Server
	ctx    context.Context
	stop   context.CancelFunc
	client *http.Client
	queues map[council.VoterID]chan council.Packet
}

const (
	mostQueued  = 64
	mostJoined  = 16 // packets that go out as one
	sendWithin  = time.Second
	connectsIn  = 300 * time.Millisecond
	packetPath  = "/v1/council/packet"
	hopHeader   = "Sedgespread-Hop" // a request that was passed on is not passed on again
	idleSockets = 2
)

func newPost(c *Server) *post {
	ctx, stop := context.WithCancel(context.Background())
	transport := &http.Transport{MaxIdleConnsPerHost: idleSockets, DialContext: (&net.Dialer{Timeout: connectsIn}).DialContext}
	return &post{c: c, ctx: ctx, stop: stop, client: &http.Client{Transport: transport}, queues: map[council.VoterID]chan council.Packet{}}
}

func (p *post) close() {
	p.stop()
	p.client.CloseIdleConnections()
}

// send puts packets in their queues. It is called by Run alone.
func (p *post) send(packets []council.Packet) {
	for _, k := range packets {
		queue := p.queues[k.To]
		if queue == nil {
			queue = make(chan council.Packet, mostQueued)
			p.queues[k.To] = queue
			go p.deliver(k.To, queue)
		}
		select {
		case queue <- k:
		default:
		}
	}
}

// deliver sends what stands in a queue, joining what has gathered.
func (p *post) deliver(to council.VoterID, queue chan council.Packet) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case k := <-queue:
			for n := 1; n < mostJoined && len(queue) > 0; n++ {
				next := <-queue
				k.Messages, k.Positions = append(k.Messages, next.Messages...), next.Positions
				k.IsQuery, k.IsReply = k.IsQuery || next.IsQuery, k.IsReply || next.IsReply
			}
			by, stop := context.WithTimeout(p.ctx, sendWithin)
			err := jsonhttp.Post(by, p.client, "http://"+p.c.address(to)+packetPath, k, nil)
			stop()
			if err != nil && p.ctx.Err() == nil {
				p.c.do(p.ctx, func() { p.c.seat.ReportUnreachable(to) })
			}
		}
	}
}

// RegisterHandlers lets a voter answer the others, and whoever asks how the council stands.
func (c *Server) RegisterHandlers(mux *http.ServeMux) {
	mux.Handle("POST "+packetPath, jsonhttp.ActionHandler(c.Receive))
	mux.Handle("POST /v1/council/state", jsonhttp.QueryHandler(func(context.Context) (State, error) { return c.State(), nil }))
	mux.Handle("POST /v1/council/change", c.ForwardToLeader(jsonhttp.ActionHandler(c.ChangeVoters)))
}

// ForwardToLeader lets a handler answer where this voter acts for the council, and passes on to the one that does what is asked
// elsewhere, once: so a driver that reaches any voter reaches the leader. Where nobody is known to act the answer is 503.
func (c *Server) ForwardToLeader(here http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.IsActing() {
			here.ServeHTTP(w, r)
			return
		}
		s := c.State()
		at := c.address(s.Leader)
		if s.Leader == 0 || s.Leader == c.id || at == "" || r.Header.Get(hopHeader) != "" {
			http.Error(w, strings.TrimSpace("nobody is known to act for the council "+s.RefusalReason), http.StatusServiceUnavailable)
			return
		}
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: at})
		proxy.Transport = c.post.client.Transport
		proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
			http.Error(w, "the leader can't be reached: "+err.Error(), http.StatusServiceUnavailable)
		}
		r.Header.Set(hopHeader, "1")
		proxy.ServeHTTP(w, r)
	})
}
