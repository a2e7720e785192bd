package wal

import (
	"expvar"
	"syscall"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// ErrNoSpace reports that the file system had no space for a write. Nothing of the write is kept, and
// the same call may be made again.
var ErrNoSpace = errors.New("wal: no space left in the data folder")

// WaitsForSpace is the metric log_waits_for_space: the number of replicas in this process that wait for
// space. Whoever waits after ErrNoSpace counts itself.
var WaitsForSpace = expvar.NewInt("log_waits_for_space")

// causedError is ErrFailed or ErrNoSpace with its cause.
type causedError struct{ kind, cause error }

// Error implements error.
func (e *causedError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Is reports whether the target is the kind of the error.
func (e *causedError) Is(target error) bool { return target == e.kind }

// Unwrap returns the cause.
func (e *causedError) Unwrap() error { return e.cause }

// isNoSpace reports whether a write was refused because the file system, a quota or the process's
// limit on the size of a file leaves no room for it.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// asNoSpace makes an error of lacking space match ErrNoSpace, and returns all others unchanged. It must
// not be given the error of a sync, after which the content of the file is unknown.
func asNoSpace(err error) error {
	if !isNoSpace(err) || errors.Is(err, ErrNoSpace) || errors.Is(err, ErrFailed) {
		return err
	}
	return &causedError{ErrNoSpace, err}
}

// fail makes the log unusable if err is not nil, and returns ErrFailed with err as the cause.
func (l *Log) fail(err error) error {
	if err == nil {
		return nil
	}
	l.failed.Store(true)
	return &causedError{ErrFailed, err}
}

// failUnlessNoSpace is like fail, but an error of lacking space leaves the log usable and matches
// ErrNoSpace. It must not be given the error of a sync.
func (l *Log) failUnlessNoSpace(err error) error {
	if isNoSpace(err) {
		return asNoSpace(err)
	}
	return l.fail(err)
}

// position is the end of the log, to which a write without space returns.
type position struct {
	size      int64
	sequence  uint64
	hardState raft.HardState
	// last is the index of the last entry, or that of the snapshot if no entry follows it.
	last uint64
}

// undo cuts the current segment off at the end of the frames before a write without space, and syncs
// that, so that no part of the write precedes the next frame. It returns err, or ErrFailed if the
// segment can't be cut off.
func (l *Log) undo(to position, segmentLast uint64, err error) error {
	if !errors.Is(err, ErrNoSpace) {
		return err
	}
	current := &l.segments[len(l.segments)-1]
	l.position, current.last = to, segmentLast
	if errors.Is(err, syscall.EFBIG) {
		// A new segment may still be below the limit on the size of a file.
		l.rotateAt = to.size
	}
	if cutErr := l.fs.Truncate(segmentPath(l.dir, current.number), to.size); cutErr != nil {
		return l.fail(errors.Wrapf(cutErr, "wal: truncate segment after %v", err))
	}
	return err
}

// retryWithFreedSpace makes a call again that failed for lack of space, once the files are removed that
// are not needed. Snapshots that are being written are abandoned, as they hold space.
func (l *Log) retryWithFreedSpace(call func() error) error {
	err := call()
	if errors.Is(err, ErrNoSpace) {
		l.short.Store(true)
		removed, removeErr := l.removeObsolete()
		if removeErr != nil {
			return removeErr
		}
		if removed > 0 {
			err = call()
		}
	}
	if err == nil {
		l.short.Store(false)
	}
	return err
}
