package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

// changeFlags are common to all commands that change the configuration.
type changeFlags struct {
	operation string
	base      uint64
}

const changeUsage = `  -operation identifies the change: sending it again returns the first response. Without
  it, an identity is generated and printed. -base REVISION makes the change fail if the
  configuration has changed since that revision.
`

func (v *changeFlags) bind(f *flag.FlagSet) {
	f.StringVar(&v.operation, "operation", "", "`identity` of this change; a resend returns the first response")
	f.Uint64Var(&v.base, "base", 0, "`revision` that the change is based on; 0 means any")
}

// send sends a change and prints the revision that it made.
func (v *changeFlags) send(ctx context.Context, s *session, req *apiv1.ChangeRequest) error {
	if v.operation == "" {
		v.operation = randomID()
		fmt.Fprintf(s.err, "operation %s\n", v.operation)
	}
	req.OperationId, req.BaseRevision = v.operation, v.base
	resp, err := s.Change(ctx, req)
	if err != nil {
		return err
	}
	if !resp.GetApplied() {
		return outcomeError{outcome: resp.GetOutcome()}
	}
	return s.print(resp, func() { s.printf("applied as revision %d\n", resp.GetRevision()) })
}

// changeCommand returns a command that sends the change which build makes of its arguments.
func changeCommand(name, synopsis, usage string, bind func(*flag.FlagSet), build func(s *session, args []string) (*apiv1.ChangeRequest, error)) *command {
	var v changeFlags
	return &command{name: name, synopsis: synopsis, mutates: true, usage: usage + changeUsage,
		bind: func(f *flag.FlagSet) {
			v.bind(f)
			bind(f)
		},
		run: func(ctx context.Context, s *session, args []string) error {
			req, err := build(s, args)
			if err != nil {
				return err
			}
			return v.send(ctx, s, req)
		}}
}

// twoArgs returns a verb and a name, or a usage error.
func twoArgs(command string, args []string, verbs ...string) (verb, name string, err error) {
	if len(args) == 2 {
		for _, v := range verbs {
			if args[0] == v {
				return v, args[1], nil
			}
		}
	}
	return "", "", usageError(command + " needs " + strings.Join(verbs, " or ") + " and one name")
}

func teamCommand() *command {
	var share, waiting, accelerators, memory, slots int64
	var cores float64
	return changeCommand("team", "create, change or delete a team",
		`team [-share N] [-max-waiting N] [-limit-cores N] [-limit-memory GiB] [-limit-accelerators N] [-limit-slots N] put NAME | team delete NAME
  Example: bulrushwinch team -share 3 -limit-cores 400 put montevideo
`,
		func(f *flag.FlagSet) {
			f.Int64Var(&share, "share", 1, "`weight` of the team when the cell is full")
			f.Int64Var(&waiting, "max-waiting", 0, "maximum `number` of waiting tasks; 0 means the default")
			f.Float64Var(&cores, "limit-cores", -1, "upper limit of `cores`; negative means none")
			f.Int64Var(&memory, "limit-memory", -1, "upper limit of memory in `GiB`; negative means none")
			f.Int64Var(&accelerators, "limit-accelerators", -1, "upper limit of `accelerators`; negative means none")
			f.Int64Var(&slots, "limit-slots", -1, "upper limit of `slots`; negative means none")
		},
		func(_ *session, args []string) (*apiv1.ChangeRequest, error) {
			verb, name, err := twoArgs("team", args, "put", "delete")
			if err != nil {
				return nil, err
			}
			if verb == "delete" {
				return &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_DeleteTeam{DeleteTeam: name}}, nil
			}
			limit := &apiv1.Limit{MilliCores: optional(int64(cores * 1000)), MemoryBytes: optional(memory << 30),
				Accelerators: optional(accelerators), Slots: optional(slots)}
			return &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{
				Name: name, Share: share, Limit: limit, MaxWaitingTasks: waiting}}}, nil
		})
}

// optional returns nil for a limit that is not set.
func optional(v int64) *int64 {
	if v < 0 {
		return nil
	}
	return &v
}

func queueCommand() *command {
	var team string
	var open bool
	return changeCommand("queue", "create, change or delete a queue",
		`queue [-team NAME] [-open] put NAME | queue delete NAME
  Without -team the queue accepts jobs of every team, with a key. With -open it accepts
  jobs for its team without a key.
  Example: bulrushwinch queue -team montevideo put labels
`,
		func(f *flag.FlagSet) {
			f.StringVar(&team, "team", "", "`team` that owns the queue")
			f.BoolVar(&open, "open", false, "accept jobs without a key, for the team")
		},
		func(_ *session, args []string) (*apiv1.ChangeRequest, error) {
			verb, name, err := twoArgs("queue", args, "put", "delete")
			if err != nil {
				return nil, err
			}
			if verb == "delete" {
				return &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_DeleteQueue{DeleteQueue: name}}, nil
			}
			return &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: name, Team: team, Open: open}}}, nil
		})
}

var roles = map[string]apiv1.KeyRole{
	"caller": apiv1.KeyRole_KEY_ROLE_CALLER, "operator": apiv1.KeyRole_KEY_ROLE_OPERATOR, "upstream": apiv1.KeyRole_KEY_ROLE_UPSTREAM,
}

func keyCommand() *command {
	var team, role, out string
	return changeCommand("key", "grant or withdraw a key",
		`key -team NAME [-role caller|operator|upstream] [-out FILE] grant KEY_ID | key withdraw KEY_ID
  This command generates the key. It is printed once, or written to FILE, which only
  its owner can read; the system stores only its hash.
  Example: bulrushwinch key -team montevideo -out caller.key grant lomos-front-desk
  Example: bulrushwinch key withdraw lomos-front-desk
`,
		func(f *flag.FlagSet) {
			f.StringVar(&team, "team", "", "`team` of a caller's key")
			f.StringVar(&role, "role", "caller", "caller, operator or upstream")
			f.StringVar(&out, "out", "", "new `file` for the key")
		},
		func(s *session, args []string) (*apiv1.ChangeRequest, error) {
			verb, id, err := twoArgs("key", args, "grant", "withdraw")
			if err != nil {
				return nil, err
			}
			if verb == "withdraw" {
				return &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_WithdrawKey{WithdrawKey: id}}, nil
			}
			if roles[role] == 0 || (role == "caller") != (team != "") {
				return nil, usageError("key grant needs a valid -role, and -team for a caller's key only")
			}
			sum, err := createKey(s, out)
			if err != nil {
				return nil, err
			}
			return &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_GrantKey{GrantKey: &apiv1.GrantKey{
				KeyId: id, Team: team, KeySha256: sum, Role: roles[role]}}}, nil
		})
}

// createKey generates a key, prints it or writes it to a new file, and returns its SHA-256 hash.
func createKey(s *session, out string) ([]byte, error) {
	key := randomID()
	sum := sha256.Sum256([]byte(key))
	if out == "" {
		fmt.Fprintf(s.err, "key %s (keep it: it is not shown again)\n", key)
		return sum[:], nil
	}
	f, err := os.OpenFile(out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, usageError(err.Error())
	}
	if _, err := f.WriteString(key + "\n"); err != nil {
		return nil, err
	}
	return sum[:], f.Close()
}

func keyHashCommand() *command {
	return &command{name: "key-hash", synopsis: "print the SHA-256 of a key, for [operator] key_sha256",
		usage: "key-hash -key-file FILE\n  Example: bulrushwinch key-hash -key-file operator.key\n",
		run: func(_ context.Context, s *session, args []string) error {
			if len(args) > 0 || s.key == "" {
				return usageError("key-hash needs -key-file, or the key in " + keyVariable)
			}
			sum := sha256.Sum256([]byte(s.key))
			s.printf("%s\n", hex.EncodeToString(sum[:]))
			return nil
		}}
}

func domainCommand() *command {
	var notice time.Duration
	return changeCommand("domain", "take a failure domain out of service or bring it back",
		`domain [-notice TIME] NAME in|out
  Example: bulrushwinch domain -operation maint-7 -notice 30s prado out
`,
		func(f *flag.FlagSet) {
			f.DurationVar(&notice, "notice", 0, "`time` that running tasks have to checkpoint")
		},
		func(_ *session, args []string) (*apiv1.ChangeRequest, error) {
			states := map[string]apiv1.DomainState{"in": apiv1.DomainState_DOMAIN_STATE_IN, "out": apiv1.DomainState_DOMAIN_STATE_OUT}
			if len(args) != 2 || states[args[1]] == 0 {
				return nil, usageError("domain needs NAME and in or out")
			}
			return &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutFailureDomain{PutFailureDomain: &apiv1.FailureDomain{
				Name: args[0], State: states[args[1]], NoticeMs: notice.Milliseconds()}}}, nil
		})
}

func replicaCommand() *command {
	return changeCommand("replica", "remove or promote a replica, or transfer the leadership",
		`replica remove|promote|transfer REPLICA_ID
  Example: bulrushwinch replica transfer 8231
`,
		func(*flag.FlagSet) {},
		func(_ *session, args []string) (*apiv1.ChangeRequest, error) {
			verb, name, err := twoArgs("replica", args, "remove", "promote", "transfer")
			if err != nil {
				return nil, err
			}
			id, err := strconv.ParseUint(name, 10, 64)
			if err != nil {
				return nil, usageError(fmt.Sprintf("%q is not a REPLICA_ID; see: bulrushwinch status", name))
			}
			actions := map[string]apiv1.ReplicaAction{"remove": apiv1.ReplicaAction_REPLICA_ACTION_REMOVE,
				"promote": apiv1.ReplicaAction_REPLICA_ACTION_PROMOTE, "transfer": apiv1.ReplicaAction_REPLICA_ACTION_TRANSFER_LEADERSHIP}
			return &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_Replica{Replica: &apiv1.ReplicaChange{ReplicaId: id, Action: actions[verb]}}}, nil
		})
}
