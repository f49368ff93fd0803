package starter

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Start must report a port in use before it starts any process.
func TestPortTaken(t *testing.T) {
	l, err := net.Listen("tcp", host+":0")
	must.NoError(t, err)
	defer l.Close()
	port := l.Addr().(*net.TCPAddr).Port
	f := &Fleet{ProgramDirectory: t.TempDir(), WorkDirectory: t.TempDir(), FirstPort: port - memberPort}
	err = f.Start(context.Background())
	must.ErrorContains(t, err, fmt.Sprintf("%s:%d (%s-1)", host, port, ServiceName))
	must.Len(t, 0, f.processes)
}
