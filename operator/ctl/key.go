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

// maxRaceRetries is how often a change of a key is retried on a version that was published
// concurrently. The record that lost the race is void, so that the change cannot be applied twice.
const maxRaceRetries = 5

// keyPrefix is the prefix of all keys, so that secret scanners detect leaked keys.
const keyPrefix = "cairn-"

// keyResult is the output of the key commands.
type keyResult struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Key is only set when the key is issued. It is not stored anywhere.
	Key     string `json:"key,omitempty"`
	Version uint64 `json:"version"`
}

func keyCommand(env Env) *cli.Command {
	note := &cli.StringFlag{Name: flagNote, Usage: "`TEXT` that history shows"}
	return &cli.Command{
		Name: "key", Usage: "issue and withdraw keys",
		Commands: []*cli.Command{
			{
				Name: "issue", Usage: "issue a key, print it once and publish its hash", ArgsUsage: "NAME",
				Flags:  []cli.Flag{&cli.StringFlag{Name: flagOrg, Usage: "`ORGANISATION` to which the key belongs", Required: true}, note},
				Action: action(env, runIssue),
			},
			{
				Name: "withdraw", Usage: "withdraw a key, which also ends its open requests", ArgsUsage: "NAME",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: flagWait, Usage: "wait until the withdrawal is in force on every live instance (requires --instance)"}, note,
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
	// Each text has 130 random bits, so that a key cannot be guessed.
	secret := keyPrefix + rand.Text() + rand.Text()
	key := object.Key{Name: args[0], Organisation: s.cmd.String(flagOrg), Hash: object.HashKey(secret)}
	version, err := s.editSet(ctx, func(set object.Set) (object.Set, error) {
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
	result.Version, err = s.editSet(ctx, func(set object.Set) (object.Set, error) {
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
		if err := s.waitForVersion(ctx, result.Version); err != nil {
			return err
		}
	}
	return s.print(result, func() { s.printf("withdrawn in version %d\n", result.Version) })
}

// editSet edits the set in force and publishes the result. If another operator publishes a version
// concurrently, the edit is repeated on that version. An edit without changes is not published.
func (s *session) editSet(ctx context.Context, edit func(object.Set) (object.Set, error)) (uint64, error) {
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
		if err == nil || try > maxRaceRetries || !isConflict(err) {
			return version, err
		}
	}
}

// isConflict reports whether a failed publish is known to be void because another version was
// published first.
func isConflict(err error) bool {
	if errors.Is(err, config.ErrUnanchored) {
		return false
	}
	return exitCode(err) == exitConflict
}
