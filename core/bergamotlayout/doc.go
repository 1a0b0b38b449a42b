// Package bergamotlayout plans which range of a model's layers each runner should hold.
package bergamotlayout
