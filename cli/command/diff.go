package command

// Diff prints the changes that apply would make.
type Diff struct {
	Dir   string `arg:"" help:"Directory with records."`
	Prune bool   `help:"Also show records that apply --prune would delete."`
}

// Run executes the verb.
func (c *Diff) Run(env *environment) error {
	_, p, err := preparePlan(env, c.Dir, c.Prune)
	if err != nil {
		return err
	}
	env.report = p
	return nil
}
