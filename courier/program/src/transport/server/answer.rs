//! What a request of a client led to.

use actix_http::{Request, Response};
use bytes::Bytes;
use quillmount_policy::MsgId;
use quillmount_protocol::submission::Malformed;

/// The answer to a request.
pub(super) struct Answer {
    pub(super) response: Response<Bytes>,
    /// The streamed message that the answer ends, if it ends one.
    pub(super) stream: Option<MsgId>,
}

impl From<Response<Bytes>> for Answer {
    fn from(response: Response<Bytes>) -> Self {
        Answer { response, stream: None }
    }
}

/// What came of one wait for a request.
pub(super) enum Received {
    /// Its body is to be passed on.
    Stream(Request),
    /// The connection ended between requests.
    Nothing,
    /// A request with its answer.
    Answered(Response<Bytes>),
    /// A health check with its answer.
    Probed(Response<Bytes>),
    /// A request that can't be accepted.
    Malformed(Malformed),
}

impl From<Malformed> for Received {
    fn from(why: Malformed) -> Self {
        Received::Malformed(why)
    }
}
