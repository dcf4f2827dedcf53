package command

// Diff shows what apply would change.
type Diff struct {
	Dir   string `arg:"" help:"Directory with records."`
	Prune bool   `help:"Also show records that apply --prune would delete."`
}

// Run implements the verb.
func (c *Diff) Run(env *environment) error {
	_, p, err := prepare(env, c.Dir, c.Prune)
	if err != nil {
		return err
	}
	env.report = p
	return nil
}
