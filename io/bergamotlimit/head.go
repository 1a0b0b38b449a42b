package bergamotlimit

import "bytes"

const (
	// lineBytes is the memory of a decoded header line in addition to its bytes. The entry of the map, the key, the value and
	// the slice need up to 91 (TestHeadCost); the maps of the fields that are forwarded need the rest.
	lineBytes    = 200
	minLine      = 4 // bytes of the shortest legal header line, "a:" and its end
	shortestLine = 3 // bytes of the shortest line that net/http accepts
	// extraLines is added to the limit of lines, for the request line and the empty one.
	extraLines = 64
	// ordinaryHead is the memory of a decoded head up to which it is part of the fixed charge of a connection.
	ordinaryHead = 16 << 10
)

// maxLines returns the limit of header lines, which no legal head of at most maxHeaderBytes reaches.
func maxLines(maxHeaderBytes int) int { return maxHeaderBytes/minLine + extraLines }

// headCounter counts the bytes and lines of a head as they arrive.
type headCounter struct {
	size  int
	lines int
	line  int  // bytes of the line that has not ended
	first byte // of that line
	done  bool // the empty line at the end has arrived
}

// add counts bytes and returns the ones after the end of the head.
func (c *headCounter) add(p []byte) (rest []byte) {
	for !c.done && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if c.line == 0 {
			c.first = p[0]
		}
		if end < 0 {
			c.size, c.line = c.size+len(p), c.line+len(p)
			return nil
		}
		c.size += end + 1
		isEmpty := c.line+end == 0 || c.line+end == 1 && c.first == '\r'
		c.line, p = 0, p[end+1:]
		if isEmpty {
			c.done = c.lines > 0 // net/http skips empty lines before a request
			continue
		}
		c.lines++
	}
	return p
}

// cost returns the memory of the decoded head.
func (c *headCounter) cost() int64 { return int64(c.size) + int64(c.lines)*lineBytes }
