package bergamotcontrol

import "bergamotspur/core/bergamotfleet"

// Listing is the result of one read of the list of instances.
type Listing struct {
	tag       string
	size      int
	unchanged bool
	specs     []bergamotfleet.Spec
}

// NewListing returns the result of a read of the whole list. The tag identifies its content, as an ETag does, and is
// empty when the platform sends none; size is the number of bytes received.
func NewListing(tag string, size int, specs []bergamotfleet.Spec) Listing {
	return Listing{tag: tag, size: size, specs: specs}
}

// NewUnchangedListing returns the result of a read that found the content with this tag to be current.
func NewUnchangedListing(tag string, size int) Listing {
	return Listing{tag: tag, size: size, unchanged: true}
}

// Tag returns the tag of the content, empty when the platform sends none.
func (l Listing) Tag() string { return l.tag }

// Size returns the number of bytes received.
func (l Listing) Size() int { return l.size }

// IsUnchanged reports whether the content still has the tag that the read was sent with.
func (l Listing) IsUnchanged() bool { return l.unchanged }

// Specs returns the listed instances, none when the content is unchanged.
func (l Listing) Specs() []bergamotfleet.Spec { return l.specs }
