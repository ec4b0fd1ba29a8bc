//! What a router is built with, apart from its messages and endpoints.

use super::StreamLimits;
use quillmount_settings::SenderSettings;

/// What a router is built with, whether it reads its journal ([`Router::open`](super::Router::open)) or resumes another
/// process's state ([`Router::resume`](super::Router::resume)).
#[derive(Clone, Copy)]
pub struct RouterOptions<'a> {
    /// The settings of this courier.
    pub settings: &'a SenderSettings,
    /// The limits on streamed messages; `None`: no streams are accepted.
    pub streams: Option<StreamLimits>,
    /// The seed of the policy's random draws. A resumed router continues the draws of the other process instead.
    pub seed: u64,
    /// The most that the journal's files may take together, in bytes.
    pub journal_limit: u64,
}
