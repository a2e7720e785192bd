package ingress

import "time"

// Priority orders the listeners of a process: requests of a lower one are refused first when the budget is used up.
type Priority int

// Priorities of listeners.
const (
	PriorityCallers Priority = iota
	PriorityControl
	PriorityPeers
)

// Limits bound the unfinished requests of a process.
type Limits struct {
	// HeadBytes bounds the head of a request, and its trailer, in bytes; EmptyBytes the empty lines before it.
	HeadBytes, EmptyBytes int
	// Connections bounds the open connections of each listener for callers, operators, upstreams and peers;
	// CheckConnections those of the listeners for health checks.
	Connections, CheckConnections int
	// HeadTime bounds the arrival of a head, StallTime the time without progress of an unfinished request, and
	// RequestTime the arrival of a whole request, and the time in which a client takes nothing of a response.
	HeadTime, StallTime, RequestTime time.Duration
	// BudgetBytes bounds what all unfinished requests and the bodies of those in work hold; zero derives it.
	BudgetBytes int64
	// ReceiveBuffer is the size in bytes of the kernel's receive buffer of each connection.
	ReceiveBuffer int
}

// DefaultLimits suit a VM of 184 MB. The largest ordinary head has 16 KiB and arrives within 3 s.
var DefaultLimits = Limits{HeadBytes: 64 << 10, EmptyBytes: 1 << 10, Connections: 1024, CheckConnections: 128,
	HeadTime: 10 * time.Second, StallTime: 10 * time.Second, RequestTime: 30 * time.Second, ReceiveBuffer: 64 << 10}

const (
	// defaultBudget is the budget of a process whose memory is not known.
	defaultBudget = 32 << 20
	// budgetShare is the part of a VM's memory that the budget takes.
	budgetShare = 8
)

// Budget returns the budget in bytes of a process with a VM of memory bytes, zero if that is not known, whose largest
// body has body bytes.
func (l Limits) Budget(memory, body int64) int64 {
	switch {
	case l.BudgetBytes > 0:
		return max(l.BudgetBytes, body+int64(l.HeadBytes))
	case memory > 0:
		return max(memory/budgetShare, body+int64(l.HeadBytes))
	}
	return max(defaultBudget, body+int64(l.HeadBytes))
}
