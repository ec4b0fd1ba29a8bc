//! What a replica wants done; the caller performs the actions in the order in which they are returned.

use crate::ids::{CallId, OperationId, ReadId, RequestId, WriteId};
use crate::record::StoreRecord;
use quillmount_wire::Micros;
use quillmount_wire::messages::{DiskId, Epoch, Response, ShardMessage, ShardOperation};

/// An action for the caller of a [`ShardReplica`](crate::ShardReplica).
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Append this record and sync it, in the order of these actions; then call
    /// [`ShardReplica::on_written`](crate::ShardReplica::on_written), in the same order.
    Write {
        /// Number of the write.
        write: WriteId,
        /// The record.
        record: StoreRecord,
    },
    /// Call another member; then call [`ShardReplica::on_answer`](crate::ShardReplica::on_answer), without an answer once the
    /// timeout has passed.
    Call {
        /// Number of the call.
        call: CallId,
        /// Disk of the member.
        member: DiskId,
        /// Epoch of this primary.
        epoch: Epoch,
        /// The message.
        message: ShardMessage,
        /// Longest time to wait for the answer, microseconds.
        timeout: Micros,
    },
    /// Answer a call received from another store.
    Answer {
        /// Number of the received call.
        request: RequestId,
        /// The answer.
        response: Response,
    },
    /// An operation is committed, and applied here.
    Committed {
        /// Number of the operation.
        operation: OperationId,
        /// The operation.
        change: ShardOperation,
    },
    /// An operation may or may not become committed.
    Uncertain {
        /// Number of the operation.
        operation: OperationId,
    },
    /// An operation was not started and has no effect.
    NotStarted {
        /// Number of the operation.
        operation: OperationId,
    },
    /// This store serves as primary from now on.
    Serving {
        /// Epoch of the primary.
        epoch: Epoch,
    },
    /// This store is no longer primary.
    SteppedDown,
    /// The jobs here include everything that was committed before the read was requested.
    ReadConfirmed {
        /// Number of the read.
        read: ReadId,
    },
    /// The read could not be confirmed in time, or this store is not the serving primary.
    ReadRejected {
        /// Number of the read.
        read: ReadId,
    },
    /// The state of members has changed: [`ShardReplica::report`](crate::ShardReplica::report) should reach the core soon.
    ReportDue,
    /// A requested rewrite has ended.
    Rewritten {
        /// Number of the request.
        request: RequestId,
        /// All records of the rewrite are durable.
        complete: bool,
    },
}
