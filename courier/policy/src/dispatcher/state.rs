//! The dispatcher's state, from which every decision is made. All but the settings and the actions is handed over from one
//! process to the next, encoded by position: the order and the types of the fields must not change.

use super::message::{CallInFlight, CallNumber, PendingMessage};
use super::route::{Destination, Endpoint, Route};
use crate::actions::DispatchAction;
use crate::ids::{DestId, EndpointId, Micros, MsgId};
use crate::settings::{Settings, SettingsError};
use quillmount_containers::TimerQueue;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The decisions of one sender: a state machine that takes events with the clock and returns actions.
///
/// It does no I/O and reads no clock. The same seed and the same events give the same actions.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Dispatcher {
    #[serde(skip)]
    pub(super) settings: Arc<Settings>,
    /// State of the random numbers (splitmix64).
    pub(super) rng_state: u64,
    /// The clock; never runs backwards.
    pub(super) now: Micros,
    /// Least time-out of a call, microseconds.
    pub(super) min_timeout: f64,
    pub(super) messages: BTreeMap<MsgId, PendingMessage>,
    /// Messages whose client is still owed a result.
    pub(super) open_messages: u32,
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(super) destinations: BTreeMap<DestId, Destination>,
    /// Destinations with waiting messages.
    pub(super) waiting_destinations: BTreeSet<DestId>,
    /// Destinations to be considered at the next dispatch.
    pub(super) ready_destinations: BTreeSet<DestId>,
    /// When the other destinations may send without a further event.
    pub(super) blocked_destinations: TimerQueue,
    pub(super) routes: Vec<Route>,
    /// Indices of `routes` that are free for use.
    pub(super) free_routes: Vec<usize>,
    /// Calls in flight; each occupies a slot.
    pub(super) calls_in_flight: BTreeMap<CallNumber, CallInFlight>,
    pub(super) next_call: CallNumber,
    pub(super) key_queues: BTreeMap<u64, KeyQueue>,
    /// By tenant, as in the settings.
    pub(super) tenant_shares: Vec<TenantShare>,
    /// When each open message expires if it has no turn to wait for.
    pub(super) message_expiries: TimerQueue,
    /// Routes under the slow-start guard, where a message may have to wait for a turn.
    pub(super) guarded_routes: BTreeSet<usize>,
    /// The last position that was given to a waiting message.
    pub(super) next_position: u64,
    /// No message expires before this time.
    pub(super) next_expiry_check: Micros,
    /// When the host's timer fires; [`Micros::MAX`] for none.
    pub(super) timer_at: Micros,
    pub(super) last_connect_refusal: ConnectRefusal,
    /// When to subscribe to the endpoint list; [`Micros::MAX`] for never.
    pub(super) resubscribe_at: Micros,
    /// Back-off after the next failure of the endpoint list.
    pub(super) resubscribe_delay: Micros,
    /// Planned end of the process.
    pub(super) stop_at: Option<Micros>,
    /// Actions of the step in progress.
    #[serde(skip)]
    pub(super) actions: Vec<DispatchAction>,
}

/// The messages of one ordering key.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct KeyQueue {
    /// Messages in order of submission; only the first may be sent.
    pub(super) messages: VecDeque<MsgId>,
    /// No first attempt is made before this time: an earlier call with the key may still run.
    pub(super) cooldown_until: Micros,
}

/// The tokens left in a tenant's share (a token bucket).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct TenantShare {
    /// Messages that are still inside the share.
    pub(super) tokens: f64,
    /// When that was counted.
    pub(super) counted_at: Micros,
}

/// The last connection that was refused quickly.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(super) struct ConnectRefusal {
    pub(super) dest: DestId,
    pub(super) at: Micros,
}

impl Dispatcher {
    /// Continues from another process's state, under settings that are equal to that one's.
    ///
    /// # Errors
    /// No instance can run under the settings.
    pub(crate) fn resume(mut self, settings: Settings) -> Result<Self, SettingsError> {
        settings.check()?;
        self.settings = Arc::new(settings);
        Ok(self)
    }

    /// Restarts the random numbers from this seed.
    pub fn reseed(&mut self, seed: u64) {
        self.rng_state = seed;
    }
}
