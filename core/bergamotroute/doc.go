// Package bergamotroute chooses the instances that run the layers of a request.
package bergamotroute
