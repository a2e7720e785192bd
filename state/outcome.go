package state

import (
	"fmt"
	"strings"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

func outcome(kind apiv1.OutcomeKind, reason apiv1.Reason, format string, args ...any) *apiv1.Outcome {
	return &apiv1.Outcome{Kind: kind, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

func notRun(reason apiv1.Reason, format string, args ...any) *apiv1.Outcome {
	return outcome(apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, reason, format, args...)
}

func undetermined(reason apiv1.Reason, format string, args ...any) *apiv1.Outcome {
	return outcome(apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, reason, format, args...)
}

func failed(reason apiv1.Reason, format string, args ...any) *apiv1.Outcome {
	return outcome(apiv1.OutcomeKind_OUTCOME_KIND_FAILED, reason, format, args...)
}

func cancelled(format string, args ...any) *apiv1.Outcome {
	return outcome(apiv1.OutcomeKind_OUTCOME_KIND_CANCELLED, apiv1.Reason_REASON_CANCELLED_BY_CALLER, format, args...)
}

var (
	accepted = &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED}
	answered = &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED}
)

// KindText returns an outcome's kind in lower-case words, for example "not run".
func KindText(o *apiv1.Outcome) string {
	name := strings.TrimPrefix(o.GetKind().String(), "OUTCOME_KIND_")
	return strings.ToLower(strings.ReplaceAll(name, "_", " "))
}
