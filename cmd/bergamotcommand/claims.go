package bergamotcommand

import (
	"context"
	"os"

	"bergamotspur/core/bergamotsetting"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/io/bergamottable"
)

// claimsCommand groups the commands about calls that may not be repeated.
type claimsCommand struct {
	List   claimsListCommand   `cmd:"" help:"List calls whose outcome is not known."`
	Settle claimsSettleCommand `cmd:"" help:"Settle a call as ran or as not run."`
}

// tableFlags name the table service by the settings of any entry.
type tableFlags struct {
	Settings string `required:"" help:"Settings file of any entry; its [platform] is used."`
}

// open returns a client, which the caller closes.
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

// pager bounds the time of each page, so that a silent table does not hold the command.
type pager struct{ table *bergamottable.Client }

func (p pager) Page(ctx context.Context, prefix, after string, limit int) ([]bergamotstore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return p.table.Page(ctx, prefix, after, limit)
}
