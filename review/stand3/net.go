package main

import (
	"net"
	"net/http"
	"sync"
)

// freePorts returns addresses with free ports of an IP address.
func freePorts(ip string, n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // it only reserves the port until all are known
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// server is an HTTP server that can end as a process that crashes does.
type server struct {
	http     *http.Server
	listener net.Listener
	once     sync.Once
}

// serveAt serves a handler at an address.
func serveAt(address string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{http: &http.Server{Handler: h}, listener: l}
	go func() { _ = s.http.Serve(l) }() // ends with crash
	return s, nil
}

// crash closes the listener and all connections.
func (s *server) crash() {
	s.once.Do(func() { _ = s.http.Close() }) // nothing is left to do after an error
}
