//! The options of a router.

use super::StreamLimits;
use quillmount_settings::SenderSettings;

/// The options of a router that is restored from its journal ([`Router::open`](super::Router::open)) or from the
/// state of another process ([`Router::resume`](super::Router::resume)).
#[derive(Clone, Copy)]
pub struct RouterOptions<'a> {
    /// The settings of this courier as a sender.
    pub settings: &'a SenderSettings,
    /// The limits on streamed messages; `None`: no streams are accepted.
    pub streams: Option<StreamLimits>,
    /// The seed of the policy's random number generator. A resumed router continues with the other process's generator
    /// instead.
    pub seed: u64,
    /// Limit on the total size of the journal's files, in bytes.
    pub journal_limit: u64,
}
