// Package bergamotlayout decides which range of layers each runner of a relayed model should hold.
package bergamotlayout
