//! What a direction of a connection carries.

use bytes::Bytes;

/// An element of the stream of one direction.
pub(super) enum PumpItem {
    /// Bytes to be written.
    Bytes(Bytes),
    /// A request is blocked here until more requests than this number were released.
    Block(u64),
    /// The last byte of a request comes before this; the request, if it is to be delivered once more.
    End(Option<Bytes>),
    /// The connection is to be closed: the request was truncated after this many bytes.
    Close(usize),
}
