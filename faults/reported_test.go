package faults

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// reportedFailure is a place where a failure that operators of similar systems reported could come about.
type reportedFailure struct {
	failure, where, prevention string
	// tests are the tests that guard the prevention.
	tests []string
}

const (
	silentMachine  = "A machine that was only silent or slow to report had its running work started again elsewhere, or given up"
	handOver       = "Around a hand-over between two processes, both acted for a moment, and orders went out twice"
	pausedProcess  = "A process that had been paused acted on a permission that had run out meanwhile"
	lostAnswer     = "After an answer was lost, work that had run was run again, or the caller was told that it hadn't run"
	restartRevives = "After a restart, a server that had left, or a key that had been withdrawn, was in use again"
	malformed      = "One malformed message or unexpected error took a whole process down"
	deadlyTask     = "One request or task crashed server after server"
	bogusEntry     = "One odd entry among those of the workers, left by another writer, ended the processes that read the list, or kept them from following it"
)

var reportedFailures = []reportedFailure{
	{silentMachine, "called upstreams: silence", "runs end as lost only when the lease has surely run out by the upstream's own clock", []string{"TestCutOffUpstreamRunsOn", "TestOneRunAtATimeOverLossyWays"}},
	{silentMachine, "called upstreams: heard, answers lost", "calls take other ways (relays) before the upstream counts as silent", []string{"TestUpstreamThatIsHeardOnOneWayOnly", "TestRelayThatIsNotUpCostsNoPause", "TestWays"}},
	{silentMachine, "called upstreams: a delayed leave notice", "runs end only once nothing listens at the address", []string{"TestDelayedLeaveAndALostAnswerEndNoRun", "TestRunStartsOnAnUpstreamWhoseRemovalIsBeingCommitted"}},
	{silentMachine, "called upstreams: after a change of leader or a restart", "sound runs are not taken for stragglers: run times are learned from runs that the leader has started, and snapshots keep when runs were placed", []string{"TestAdoptedRunsAreNotLearned", "TestSnapshotKeepsWhenRunsWerePlaced", "TestNewLeaderCopiesNoRunsThatItFinds"}},
	{silentMachine, "called upstreams: slow ones, or late starts", "copies of runs that are expected to take far longer than a copy, within a share of the cores", []string{"TestCopiesOnAnUnevenDay", "TestRunThatStartedLateGetsNoCopy", "TestCopiesStayWithinTheirBudget"}},
	{silentMachine, "called upstreams: a leader without processor time", "timeouts are extended while goroutines of the process wait for the processor", []string{"TestStalledProcessTakesItsServerForSilent"}},
	{silentMachine, "polled upstreams", "leases, and a later poll that lists neither the run nor its end", []string{"TestLeaseExpiry", "TestNotHandedOutIsSafeToPlaceAgain"}},
	{silentMachine, "polled upstreams: a gang that has lost them", "its members wait in one queue entry, whatever order their ends become known in", []string{"TestGangStartsAgainInAnyOrder"}},
	{silentMachine, "replicas", "a silent voter gives up its vote to a standby that has caught up; its log stays of use", []string{"TestSilentVoterIsReplacedBeforeTheNextLoss", "TestRepairAndASecondLossRightAfter", "TestExchangedReplicas"}},
	{handOver, "leaders of called upstreams", "an order without an answer is settled under a higher token, which bars the older leader's orders at the upstream", []string{"TestNewLeaderAdoptsRuns", "TestNewLeaderWithdrawsUnsentRuns", "TestUnansweredOrders"}},
	{handOver, "leaders of polled upstreams", "numbered polls; only the highest of a term gets commands, and an attempt of an earlier leader is absent only by a poll that carries the term", []string{"TestOlderAndCrossedPollsGetNothing", "TestLatePollsAtANewLeader"}},
	{handOver, "a transfer of the leadership that fails", "what was refused during the transfer is determined again", []string{"TestEndsAreLostInATransferThatFails", "TestTransfer"}},
	{pausedProcess, "leader: orders, leases", "nothing is ordered 1.2 s after the last confirmation by a quorum, asked again right before the call", []string{"TestUnconfirmedLeaderIsQuiet", "TestStartIsNotSentAfterAPause"}},
	{pausedProcess, "leader: maintenance of VMs", "the same, as the VM service may check no tokens", []string{"TestMaintenanceIsNotOrderedAfterAPause"}},
	{pausedProcess, "leader: reads and refusals", "answered after a confirmation that began after the call", []string{"TestPausedLeaderReadsNothing", "TestUnconfirmedLeaderRefusesNoJob"}},
	{pausedProcess, "operators' orders on failure domains, changes without a base revision", "bound to the revision that was in force while the operator waited; an outdated one is refused when it is applied", []string{"TestOrderWhoseCallerHasLeftIsDropped", "TestOrderThatWasHeldUpIsOutdated", "TestFrozenReplicaCarriesOutNoOldOrder", "TestChangeThatWasHeldUpIsNotDecidedOn", "TestChangeIsBoundToTheRevisionThatItsOperatorSaw"}},
	{pausedProcess, "relays", "what is read after a pause is refused as not sent", []string{"TestPausedRelaySendsWhatIsOld"}},
	{pausedProcess, "entries", "a view older than its bound stops all work; keys are checked again in the log", []string{"TestStaleViewStopsEverything", "TestWithdrawnKeyIsRefusedInTheLog"}},
	{pausedProcess, "polled upstreams", "a start that arrives after its window is dropped; a task asks for its lease", []string{"TestStartDeadline", "TestPauseBetweenCheckAndStart", "TestSuspendedTaskSeesItsLeaseLost"}},
	{lostAnswer, "between leader and upstream", "the status under a higher token decides; a relay says 'not sent' only of what it has not written", []string{"TestUnansweredOrders", "TestNotSentIsTrue", "TestLostOrderIsNoticedSoon"}},
	{lostAnswer, "between entry and leader", "a call that may have had an effect is repeated under its identity to its deadline, and never answered as not run", []string{"TestSearchEndsOnlyCallsWithoutEffect", "TestPassedOnCallTellsTheTruth", "TestCallOnAQuietSilentConnectionIsNotSent"}},
	{lostAnswer, "a refusal after an attempt without an answer", "withheld, whatever its reason: what was allowed then may be refused now", []string{"TestRefusalAfterAnAttemptOfUnknownOutcome", "TestResentChangeWithAWithdrawnKeyIsUndetermined"}},
	{lostAnswer, "a caller that leaves, and cancels", "cancellations are decided in the log, behind the submission; one that comes first leaves a tombstone", []string{"TestCancellationOfUncommittedSubmission", "TestCancellationWaitsForSubmission", "TestJobCancelledBeforeItsSubmissionDoesNotRun"}},
	{lostAnswer, "between caller and entry", "identities of requests are kept in the log; a refusal is checked against jobs that are known or proposed", []string{"TestSubmitIsIdempotent", "TestKnownJobIsNotRefused", "TestMalformedResendIsUndetermined"}},
	{restartRevives, "upstreams that have left", "removals are in the log, and a late heartbeat brings no work", []string{"TestHeartbeatAfterTheLeaveBringsNoWork", "TestLateLeaveDoesNotEndTheNewIncarnation", "TestRebornUpstream"}},
	{restartRevives, "an upstream that has restarted unnoticed", "its ends are not acknowledged with the numbers of the incarnation before; its clock tells it apart", []string{"TestEndsAfterAnUnnoticedRestartAreKept", "TestEndsAfterAnUnnoticedRestartAndALostAnswerAreKept", "TestEndsBeforeTheAnswerToTheirStartAreKept"}},
	{restartRevives, "keys and configuration", "versions are in the log and its snapshots; a view never goes back", []string{"TestRestartOfAllKeepsWhatWasAcknowledged", "TestRevisionNeverReverts", "TestSnapshotRestores"}},
	{restartRevives, "a replica whose disk was full", "it stays up without leading, and takes part again once it can write; it ends its process if its log has failed", []string{"TestReplicasWithFullDisksComeBack", "TestReplicasWithFailedLogsComeBack"}},
	{restartRevives, "a replica that was killed between a write and its sync", "opening a log syncs what was read, before anything is built on it", []string{"TestWhatARestartReadOutlivesALossOfPower", "TestRandomLivesWithLossesOfPower"}},
	{malformed, "requests, calls between processes", "an unexpected error ends its request with a logged reason", []string{"TestUnexpectedErrorEndsItsRequestOnly", "TestUnexpectedErrorEndsItsCallOnly", "TestUnexpectedErrorEndsTheCallToAnUpstream", "TestMalformedCallIsAnswered"}},
	{malformed, "decoders of the wire and of files", "fuzzed with committed seeds", []string{"FuzzDecoders", "FuzzRaftMessages", "FuzzCall", "FuzzRestore", "FuzzSegment", "FuzzSnapshot", "FuzzHandle"}},
	{malformed, "the replicated state", "a broken invariant still stops the process", []string{"TestBrokenInvariantStopsTheProcess"}},
	{deadlyTask, "called upstreams", "one start at most after the third crash, whoever leads; the job fails, its neighbours complete; upstreams that were cut off or left count nothing", []string{"TestTaskThatCrashesItsUpstreamsIsGivenUp", "TestJobIsFailedForUpstreamsThatDidNotCrash"}},
	{deadlyTask, "polled upstreams, repeatable tasks", "a restart while the lease surely still ran is a failed attempt of what was started in the last 30 s; upstreams that were cut off, leave or are drained count nothing", []string{"TestPolledTaskThatCrashesItsUpstreamsIsGivenUp", "TestJobWhoseTaskCrashesItsUpstreamIsGivenUp", "TestEndsOfUpstreamsThatAreNoCrash", "TestEndOfTheProcessIsTold"}},
	{bogusEntry, "heartbeats", "refused for good with 400, in a bounded log line; names and amounts are bounded at the border and by the leader", []string{"TestBogusHeartbeatIsRefused", "TestUnusualHeartbeatIsAccepted", "TestLeaderRefusesBogusDescriptions", "TestCallThatCannotBeEncodedIsRefusedForGood"}},
	{bogusEntry, "the replicated state: what an older version accepted", "applied, put into snapshots and restored", []string{"TestBogusUpstreamOfAnOldLog"}},
	{bogusEntry, "false claims under the identity of a sound upstream", "status requests tell which incarnation is there; a start or a number far too high hides it no longer", []string{"TestBogusStartShutsNoUpstreamOut", "TestBogusStartThatCameFirstHidesNoUpstream", "TestBogusSequenceHidesNoHeartbeat", "TestLateHeartbeatsStayStale"}},
	{bogusEntry, "false claims of an address or a VM", "an upstream is asked before another one takes its place", []string{"TestBogusClaimOfAnAddressEndsNoRun", "TestUpstreamTakesThePlaceOfOneThatHasEnded"}},
	{bogusEntry, "lists of VMs, rows of the permit service", "entries are decoded one by one", []string{"TestBogusVMLeavesTheListReadable", "TestBogusVMDoesNotHideAProperOne", "TestUnreadableListOfVMsIsAnError", "TestBogusPermitLeavesTheAnswerReadable"}},
	{bogusEntry, "an upstream's own list", "what can't be read is an error of that call; numbers and clocks are bounded by what the upstream can have reached", []string{"TestBogusStatusIsAnError", "TestBogusNumberOfAnEndHidesNoEnd", "TestEndsListedOutOfOrder", "TestAcknowledgedEndThatIsListedAgain", "TestBogusClockLeavesTheLeaseBounded", "TestClockThatJumpsAheadCountsOnceItAdvances", "TestAnswerWithManyUnknownRuns", "TestLongTextsOfAnUpstreamStayOutOfTheLog", "TestRefusedClaimantEndsNoRun", "FuzzStatusReply"}},
}

// renderReported renders the section of docs/FAULTS.md on failures that operators reported.
func renderReported() string {
	var b strings.Builder
	b.WriteString("\n## What went wrong for operators of similar systems\n\n`soak/` plays these together: TestOverlappingFaults.\n")
	last := ""
	for _, f := range reportedFailures {
		if f.failure != last {
			fmt.Fprintf(&b, "\n**%s.**\n\n| Where it could come about | What prevents it | Tests |\n|---|---|---|\n", f.failure)
			last = f.failure
		}
		fmt.Fprintf(&b, "| %s | %s | %s |\n", f.where, f.prevention, strings.Join(f.tests, ", "))
	}
	return b.String()
}

// TestReportedFailuresHaveTests checks that each test which the page names exists.
func TestReportedFailuresHaveTests(t *testing.T) {
	known := testNames(t)
	for _, f := range reportedFailures {
		for _, name := range f.tests {
			if !known[name] {
				t.Errorf("%s, %s: there is no test %s", f.failure, f.where, name)
			}
		}
	}
}

// testNames returns the names of all functions in test files of the repository.
func testNames(t *testing.T) map[string]bool {
	names := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok {
				names[f.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
