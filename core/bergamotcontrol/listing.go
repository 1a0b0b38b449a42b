package bergamotcontrol

import "bergamotspur/core/bergamotfleet"

// Listing is one read of the list of instances.
type Listing struct {
	tag       string
	size      int
	unchanged bool
	list      []bergamotfleet.Spec
}

// NewListing returns a read of a whole list; tag names its content, empty when the list offers none, and size
// is how many bytes were received.
func NewListing(tag string, size int, list []bergamotfleet.Spec) Listing {
	return Listing{tag: tag, size: size, list: list}
}

// NewUnchanged returns a read that found the content named by tag to be current.
func NewUnchanged(tag string, size int) Listing {
	return Listing{tag: tag, size: size, unchanged: true}
}

// Tag returns what names the content, empty when the list offers no tags.
func (l Listing) Tag() string { return l.tag }

// Size returns how many bytes were received.
func (l Listing) Size() int { return l.size }

// Unchanged tells whether the content is the one whose tag was asked for.
func (l Listing) Unchanged() bool { return l.unchanged }

// Specs returns the listed instances, none when the content is unchanged.
func (l Listing) Specs() []bergamotfleet.Spec { return l.list }
