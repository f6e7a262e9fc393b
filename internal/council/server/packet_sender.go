package server

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

// packetSender sends packets to other voters. Each voter has its own queue, so that an unresponsive
// one does not delay the others. Packets for a full queue are dropped.
type packetSender struct {
	server *Server
	ctx    context.Context
	cancel context.CancelFunc
	client *http.Client
	queues map[council.VoterID]chan council.Packet
}

const (
	maxQueuedPackets    = 64
	maxMergedPackets    = 16 // queued packets combined into one request
	sendTimeout         = time.Second
	dialTimeout         = 300 * time.Millisecond
	packetPath          = "/v1/council/packet"
	hopHeader           = "Sedgespread-Hop" // marks a forwarded request, which is not forwarded again
	maxIdleConnsPerHost = 2
)

func newPacketSender(server *Server) *packetSender {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &packetSender{server: server, ctx: ctx, cancel: cancel, client: &http.Client{Transport: transport}, queues: map[council.VoterID]chan council.Packet{}}
}

func (p *packetSender) close() {
	p.cancel()
	p.client.CloseIdleConnections()
}

// enqueue queues packets for their recipients. It must be called only from Run.
func (p *packetSender) enqueue(packets []council.Packet) {
	for _, packet := range packets {
		queue := p.queues[packet.To]
		if queue == nil {
			queue = make(chan council.Packet, maxQueuedPackets)
			p.queues[packet.To] = queue
			go p.sendLoop(packet.To, queue)
		}
		select {
		case queue <- packet:
		default:
		}
	}
}

// sendLoop sends the packets of a queue, combining those that are waiting.
func (p *packetSender) sendLoop(to council.VoterID, queue chan council.Packet) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case packet := <-queue:
			for n := 1; n < maxMergedPackets && len(queue) > 0; n++ {
				next := <-queue
				packet.Messages, packet.Positions = append(packet.Messages, next.Messages...), next.Positions
				packet.IsQuery, packet.IsReply = packet.IsQuery || next.IsQuery, packet.IsReply || next.IsReply
			}
			ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
			err := jsonhttp.Post(ctx, p.client, "http://"+p.server.address(to)+packetPath, packet, nil)
			cancel()
			if err != nil && p.ctx.Err() == nil {
				p.server.enqueue(p.ctx, func() { p.server.node.ReportUnreachable(to) })
			}
		}
	}
}

// RegisterHandlers registers the HTTP handlers for packets, state and voter changes.
func (s *Server) RegisterHandlers(mux *http.ServeMux) {
	mux.Handle("POST "+packetPath, jsonhttp.ActionHandler(s.Receive))
	mux.Handle("POST /v1/council/state", jsonhttp.QueryHandler(func(context.Context) (State, error) { return s.State(), nil }))
	mux.Handle("POST /v1/council/change", s.ForwardToLeader(jsonhttp.ActionHandler(s.ChangeVoters)))
}

// ForwardToLeader serves a request with handler if this voter holds the leader lease, and otherwise
// forwards it to the leader, at most once. The response is 503 if the leader is unknown.
func (s *Server) ForwardToLeader(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.IsActing() {
			handler.ServeHTTP(w, r)
			return
		}
		state := s.State()
		address := s.address(state.Leader)
		if state.Leader == 0 || state.Leader == s.id || address == "" || r.Header.Get(hopHeader) != "" {
			http.Error(w, strings.TrimSpace("nobody is known to act for the council "+state.RefusalReason), http.StatusServiceUnavailable)
			return
		}
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
		proxy.Transport = s.sender.client.Transport
		proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
			http.Error(w, "the leader can't be reached: "+err.Error(), http.StatusServiceUnavailable)
		}
		r.Header.Set(hopHeader, "1")
		proxy.ServeHTTP(w, r)
	})
}
