//! Actions that a replica returns. The caller performs them in the order in which they are returned.

use crate::ids::{CallId, OperationId, ReadId, RequestId, WriteId};
use crate::record::StoreRecord;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Epoch, Response, ShardMessage, ShardOperation};

/// An action for the caller of a [`ShardReplica`](crate::ShardReplica).
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Append the record to the write-ahead log and sync it. Records are written in the order of these actions, and
    /// [`ShardReplica::on_written`](crate::ShardReplica::on_written) is called for each in the same order.
    Write {
        /// Identifies the write in [`ShardReplica::on_written`](crate::ShardReplica::on_written).
        write: WriteId,
        /// Record to append.
        record: StoreRecord,
    },
    /// Call another member, then call [`ShardReplica::on_answer`](crate::ShardReplica::on_answer) with its answer,
    /// or with `None` once the timeout has passed.
    Call {
        /// Identifies the call in [`ShardReplica::on_answer`](crate::ShardReplica::on_answer).
        call: CallId,
        /// Disk of the member to call.
        member: DiskId,
        /// Epoch of the calling primary; the member rejects the call if it has seen a higher one.
        epoch: Epoch,
        /// Message to send.
        message: ShardMessage,
        /// Time to wait for the answer, microseconds.
        timeout: Micros,
    },
    /// Answer a call that was received from another store.
    Answer {
        /// Identifies the call, as passed to [`ShardReplica::receive`](crate::ShardReplica::receive).
        request: RequestId,
        /// Answer to send to the calling store.
        response: Response,
    },
    /// An operation is committed and applied to the jobs in memory.
    Committed {
        /// Identifies the operation, as passed to [`ShardReplica::commit`](crate::ShardReplica::commit).
        operation: OperationId,
        /// The committed operation.
        change: ShardOperation,
    },
    /// The replica stepped down while the operation was being replicated: the next primary may or may not commit
    /// it.
    Uncertain {
        /// Identifies the operation, as passed to [`ShardReplica::commit`](crate::ShardReplica::commit).
        operation: OperationId,
    },
    /// The operation was not started and has no effect; the caller may retry it.
    NotStarted {
        /// Identifies the operation, as passed to [`ShardReplica::commit`](crate::ShardReplica::commit).
        operation: OperationId,
    },
    /// The replica is primary and accepts operations and reads from now on.
    Serving {
        /// Epoch in which it serves.
        epoch: Epoch,
    },
    /// The replica is no longer primary. Actions for its pending operations and reads precede this one.
    SteppedDown,
    /// The jobs in memory include every operation that was committed before the read was requested.
    ReadConfirmed {
        /// Identifies the read, as passed to [`ShardReplica::confirm`](crate::ShardReplica::confirm).
        read: ReadId,
    },
    /// The read was not confirmed by its deadline, or the replica is not the serving primary.
    ReadRejected {
        /// Identifies the read, as passed to [`ShardReplica::confirm`](crate::ShardReplica::confirm).
        read: ReadId,
    },
    /// Members became unresponsive or caught up: [`ShardReplica::report`](crate::ShardReplica::report) should be
    /// sent to the core soon.
    ReportDue,
    /// A rewrite that was requested has ended.
    Rewritten {
        /// Identifies the rewrite, as passed to [`ShardReplica::rewrite`](crate::ShardReplica::rewrite).
        request: RequestId,
        /// Whether all records of the rewrite are durable; if not, older records must be kept.
        complete: bool,
    },
}
