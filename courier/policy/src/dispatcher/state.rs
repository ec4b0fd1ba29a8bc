//! The dispatcher's state, from which every decision is made. All but the settings and the actions is handed over
//! from one process to the next, encoded by position: the order and the types of the fields must not change.

use super::message::{CallInFlight, CallNumber, PendingMessage};
use super::route::{Destination, Endpoint, Route};
use crate::actions::DispatchAction;
use crate::ids::{DestId, EndpointId, Micros, MsgId};
use crate::settings::{Settings, SettingsError};
use quillmount_containers::TimerQueue;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The decisions of one sender: a state machine that processes events with the time of the clock and returns actions.
///
/// It does no I/O and reads no clock. The same seed and the same events give the same actions.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Dispatcher {
    #[serde(skip)]
    pub(super) settings: Arc<Settings>,
    /// State of the random number generator (SplitMix64).
    pub(super) rng_state: u64,
    /// Time of the latest step; never decreases.
    pub(super) now: Micros,
    /// Minimum time-out of a call, microseconds.
    pub(super) min_timeout: f64,
    pub(super) messages: BTreeMap<MsgId, PendingMessage>,
    /// Number of messages that still need a result.
    pub(super) open_messages: u32,
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(super) destinations: BTreeMap<DestId, Destination>,
    /// Destinations with waiting messages.
    pub(super) waiting_destinations: BTreeSet<DestId>,
    /// Destinations to consider at the next dispatch.
    pub(super) ready_destinations: BTreeSet<DestId>,
    /// Time at which each other destination with waiting messages may send without a further event.
    pub(super) blocked_destinations: TimerQueue,
    pub(super) routes: Vec<Route>,
    /// Unused indices of `routes`.
    pub(super) free_routes: Vec<usize>,
    /// Calls in flight; each occupies a slot.
    pub(super) calls_in_flight: BTreeMap<CallNumber, CallInFlight>,
    pub(super) next_call: CallNumber,
    pub(super) key_queues: BTreeMap<u64, KeyQueue>,
    /// Token buckets, indexed as the tenants in the settings.
    pub(super) tenant_shares: Vec<TenantShare>,
    /// Expiry time of each open message if it need not wait for a turn.
    pub(super) message_expiries: TimerQueue,
    /// Routes under the slow-start guard, where a message may have to wait for a turn.
    pub(super) guarded_routes: BTreeSet<usize>,
    /// Latest position that was assigned to a waiting message.
    pub(super) next_position: u64,
    /// No message expires before this time.
    pub(super) next_expiry_check: Micros,
    /// Time at which the host's timer fires; [`Micros::MAX`] for none.
    pub(super) timer_at: Micros,
    pub(super) last_connect_refusal: ConnectRefusal,
    /// Time of the next subscription to the endpoint list; [`Micros::MAX`] for none.
    pub(super) resubscribe_at: Micros,
    /// Back-off after the next failure of discovery, microseconds.
    pub(super) resubscribe_delay: Micros,
    /// Time of the planned stop of the process, if one is announced.
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
    /// Time before which no first attempt is made, since an earlier call with the key may still run.
    pub(super) cooldown_until: Micros,
}

/// The tokens left in a tenant's share (a token bucket).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct TenantShare {
    /// Number of messages that the share still allows.
    pub(super) tokens: f64,
    /// Time at which `tokens` was computed.
    pub(super) counted_at: Micros,
}

/// The last connection that was refused quickly.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(super) struct ConnectRefusal {
    pub(super) dest: DestId,
    #[serde(rename = "at")]
    pub(super) refused_at: Micros,
}

impl Dispatcher {
    /// Continues from the state of another process, under settings equal to those of that process.
    ///
    /// # Errors
    /// [`Settings::check`] rejects the settings.
    pub(crate) fn resume(mut self, settings: Settings) -> Result<Self, SettingsError> {
        settings.check()?;
        self.settings = Arc::new(settings);
        Ok(self)
    }

    /// Resets the random number generator to this seed.
    pub fn reseed(&mut self, seed: u64) {
        self.rng_state = seed;
    }
}
