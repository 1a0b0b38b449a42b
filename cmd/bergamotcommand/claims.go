package bergamotcommand

import (
	"context"
	"os"

	"bergamotspur/core/bergamotsetting"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/io/bergamottable"
)

// claimsCommand groups the commands that list and settle calls that may not be repeated.
type claimsCommand struct {
	List   claimsListCommand   `cmd:"" help:"List calls whose outcome is not known."`
	Settle claimsSettleCommand `cmd:"" help:"Settle a call as ran or as not run."`
}

// tableFlags holds the flags of commands that use only the table. The settings of any entry give its address.
type tableFlags struct {
	Settings string `required:"" help:"Settings file of any entry; its [platform] is used."`
}

// open returns a table client, which the caller must close.
func (f *tableFlags) open() (table *bergamottable.Client, err error) {
	text, err := os.ReadFile(f.Settings)
	if err != nil {
		return nil, err
	}
	setting, err := bergamotsetting.Parse(f.Settings, text)
	if err != nil {
		return nil, err
	}
	return bergamottable.NewClient(setting.TableAddress()), nil
}

// timeoutPager limits the read of each page to statusTimeout, so that a table that does not answer cannot block the
// command.
type timeoutPager struct{ table *bergamottable.Client }

func (p timeoutPager) Page(ctx context.Context, prefix, after string, limit int) ([]bergamotstore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return p.table.Page(ctx, prefix, after, limit)
}
