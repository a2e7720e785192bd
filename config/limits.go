package config

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/ingress"
)

// Bounds of the section [limits]. The lowest values leave room for every ordinary request: a head of 16 KiB that
// arrives within 3 s. With a receive buffer of 16 KiB a body of 7 MiB stood still on loopback, whose packets are larger.
const (
	minHeadKiB, maxHeadKiB             = 16, 1024
	maxEmptyBytes                      = 64 << 10
	minConnections, maxConnections     = 16, 1 << 20
	minIngressTime, maxIngressTime     = 3 * time.Second, 5 * time.Minute
	maxBudgetMiB                       = 1 << 16
	minReceiveKiB, maxReceiveKiB       = 32, 4096
	kib                            int = 1 << 10
)

// ingressLimits reads the section [limits].
func (r *reader) ingressLimits() ingress.Limits {
	d := ingress.DefaultLimits
	return ingress.Limits{
		HeadBytes:        r.integer("limits", "head_kib", d.HeadBytes/kib, minHeadKiB, maxHeadKiB) * kib,
		EmptyBytes:       r.integer("limits", "empty_bytes", d.EmptyBytes, 2, maxEmptyBytes),
		Connections:      r.integer("limits", "connections", d.Connections, minConnections, maxConnections),
		CheckConnections: r.integer("limits", "check_connections", d.CheckConnections, minConnections, maxConnections),
		HeadTime:         r.millis("limits", "head_ms", d.HeadTime, minIngressTime, maxIngressTime),
		StallTime:        r.millis("limits", "stall_ms", d.StallTime, minIngressTime, maxIngressTime),
		RequestTime:      r.millis("limits", "request_ms", d.RequestTime, minIngressTime, maxIngressTime),
		BudgetBytes:      int64(r.integer("limits", "budget_mib", 0, 0, maxBudgetMiB)) << 20,
		ReceiveBuffer:    r.integer("limits", "receive_kib", d.ReceiveBuffer/kib, minReceiveKiB, maxReceiveKiB) * kib,
	}
}
