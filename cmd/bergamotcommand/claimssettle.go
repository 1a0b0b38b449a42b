package bergamotcommand

import "bergamotspur/core/bergamotclaim"

type claimsSettleCommand struct {
	tableFlags
	Workspace string `arg:"" help:"Workspace of the caller."`
	Key       string `arg:"" help:"Idempotency key of the call."`
	Attempt   string `arg:"" help:"Attempt as shown by claims list."`
	Outcome   string `arg:"" enum:"ran,notrun" help:"What the service's own records say: ran or notrun."`
	By        string `required:"" help:"Name of the operator who settles."`
	Ended     bool   `help:"The entry process that the attempt is named after has ended. Required for notrun in state claimed."`
}

// Run records the outcome of one call. A call settled as not run can be claimed and run again under the same key.
func (c *claimsSettleCommand) Run(s *streams) error {
	table, err := c.open()
	if err != nil {
		return err
	}
	defer table.Close()
	claims := &bergamotclaim.Claims{Table: table, Timeout: statusTimeout}
	err = claims.Settle(s.ctx, bergamotclaim.Settlement{
		Workspace: c.Workspace, Key: c.Key, Attempt: c.Attempt, Operator: c.By, Ran: c.Outcome == "ran", Ended: c.Ended,
	})
	if err != nil {
		return err
	}
	s.printf("settled %s of workspace %s as %s\n", c.Key, c.Workspace, c.Outcome)
	return nil
}
