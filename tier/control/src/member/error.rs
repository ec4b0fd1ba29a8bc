//! Errors of changes and reads of the control state.

use quillmount_replication::MAX_PAYLOAD_BYTES;

/// The request was rejected without a change because this member is not the serving primary. The caller may send it to
/// the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "request to the control state rejected: this core member is not the serving primary; send it to the primary"
)]
pub struct NotPrimary;

/// The reason why a change was rejected; the control state is as before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeRejected {
    /// This member does not serve as primary.
    #[error(transparent)]
    NotPrimary(#[from] NotPrimary),
    /// The changed state would be larger than the members can store.
    #[error(
        "change rejected: the control state would have {bytes} bytes, the limit is {MAX_PAYLOAD_BYTES}; make the configuration smaller"
    )]
    TooLarge {
        /// Size of the changed state, bytes.
        bytes: usize,
    },
}
