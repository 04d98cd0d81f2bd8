package main

import "sync"

// openConns are the open connections of a replica, hijacked ones too. It is safe for concurrent use.
type openConns struct {
	mu   sync.Mutex
	open map[*pausedConn]bool
}

func (o *openConns) add(conn *pausedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open = map[*pausedConn]bool{}
	}
	o.open[conn] = true
}

func (o *openConns) remove(conn *pausedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, conn)
}

// closeAll closes all connections in order.
func (o *openConns) closeAll() {
	o.mu.Lock()
	open := o.open
	o.open = nil
	o.mu.Unlock()
	for conn := range open {
		_ = conn.Conn.Close()
	}
}
