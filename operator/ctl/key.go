package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
)

// raceRetries is how often a change of one key is made again on the version that
// came first. The record that lost is void, so that this cannot apply it twice.
const raceRetries = 5

// keyPrefix marks the project's keys, so that scanners find one that leaked.
const keyPrefix = "cairn-"

// keyResult is the output of the key commands.
type keyResult struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Key is given once, when it is issued, and kept nowhere.
	Key     string `json:"key,omitempty"`
	Version uint64 `json:"version"`
}

func keyCommand(env Env) *cli.Command {
	note := &cli.StringFlag{Name: flagNote, Usage: "`TEXT` for the history"}
	return &cli.Command{
		Name: "key", Usage: "issue and withdraw keys",
		Commands: []*cli.Command{
			{
				Name: "issue", Usage: "issue a key: print it once and publish its hash", ArgsUsage: "NAME",
				Flags:  []cli.Flag{&cli.StringFlag{Name: flagOrg, Usage: "`ORGANISATION` that the key acts for", Required: true}, note},
				Action: action(env, runIssue),
			},
			{
				Name: "withdraw", Usage: "withdraw a key, which ends its open requests too", ArgsUsage: "NAME",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: flagWait, Usage: "wait until it is in force on every live instance (needs --instance)"}, note,
				},
				Action: action(env, runWithdraw),
			},
		},
	}
}

func runIssue(ctx context.Context, s *session) error {
	args, err := s.args("NAME")
	if err != nil {
		return err
	}
	// Two texts of 130 random bits each; guessing one is out of reach.
	secret := keyPrefix + rand.Text() + rand.Text()
	key := object.Key{Name: args[0], Organisation: s.cmd.String(flagOrg), Hash: object.HashKey(secret)}
	version, err := s.change(ctx, func(set object.Set) (object.Set, error) {
		set.Keys = append(slices.Clone(set.Keys), key)
		return set, nil
	})
	if err != nil {
		return err
	}
	result := keyResult{Name: key.Name, Organisation: key.Organisation, Key: secret, Version: version}
	return s.print(result, func() { s.printf("%s\n", secret) })
}

func runWithdraw(ctx context.Context, s *session) error {
	args, err := s.args("NAME")
	if err != nil {
		return err
	}
	result := keyResult{Name: args[0]}
	result.Version, err = s.change(ctx, func(set object.Set) (object.Set, error) {
		i := slices.IndexFunc(set.Keys, func(k object.Key) bool { return k.Name == args[0] })
		if i < 0 {
			return set, usageError("key %q is not in the set", args[0])
		}
		set.Keys = slices.Clone(set.Keys)
		set.Keys[i].Withdrawn = true
		result.Organisation = set.Keys[i].Organisation
		return set, nil
	})
	if err != nil {
		return err
	}
	if s.cmd.Bool(flagWait) {
		if err := s.waitFor(ctx, result.Version); err != nil {
			return err
		}
	}
	return s.print(result, func() { s.printf("withdrawn in version %d\n", result.Version) })
}

// change reads the set in force, edits it and publishes the result. Should
// another operator come first, the edit is made anew on what that one published.
// An edit that changes nothing is not published.
func (s *session) change(ctx context.Context, edit func(object.Set) (object.Set, error)) (uint64, error) {
	target, err := s.target()
	if err != nil {
		return 0, err
	}
	for try := 1; ; try++ {
		base, set, err := target.latest(ctx)
		if err != nil {
			return 0, err
		}
		edited, err := edit(set)
		if err != nil || len(object.Diff(set, edited)) == 0 {
			return base, err
		}
		if faults := object.Check(edited); len(faults) > 0 {
			return 0, s.reportFaults(edited, faults)
		}
		version, err := target.publish(ctx, edited, base, s.cmd.String(flagNote))
		if err == nil || try > raceRetries || !cameSecond(err) {
			return version, err
		}
	}
}

// cameSecond tells whether a publish is certainly void since another came first.
func cameSecond(err error) bool {
	if errors.Is(err, config.ErrUnanchored) {
		return false
	}
	return exitCode(err) == exitConflict
}
