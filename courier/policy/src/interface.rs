//! The types at the module's edge: settings, events, actions, ids and the clock. Types only.

/// The clock and every span: whole microseconds.
pub type Micros = u64;
/// A message, numbered by the host; a number is used once in an instance's life.
pub type MsgId = u64;
/// A receiver (one endpoint of a destination), numbered by the host.
pub type EndpointId = u32;
/// A destination.
pub type DestId = u64;

/// What repeating a message of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may be repeated and refused freely.
    Idempotent,
    /// Repeats are dropped for `span` from the first attempt that may have run, by the whole
    /// destination or, if `by_zone`, by the endpoints of one zone only.
    Deduplicated { span: Micros, by_zone: bool },
    /// May take effect once: a repeat needs proof that no earlier attempt ran.
    NonIdempotent,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    Linear,
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug)]
pub struct MessageClass {
    pub effect: Effect,
    pub latency_target: Micros,
    /// The aim grows by this multiple of the message's own work; 0 for none.
    pub latency_target_stretch: f64,
    pub deadline: Micros,
    pub value: f64,
    pub late_value: f64,
    pub keep_order: bool,
}

/// Bytes that the messages of one call take together at most: no body on the wire may be larger than 64 KiB.
pub const MAX_CALL_BYTES: u64 = 64 * 1024 - 2;

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    pub separate_routes: bool,
    /// Messages that one call may carry; 0 counts as 1.
    pub batch: u32,
}

/// What an instance is told at its start. `Settings::default()` serves for what is absent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This sender's number, from 0, among its `sender_count`.
    pub sender_index: u32,
    pub sender_count: u32,
    pub slots: u32,
    pub max_open_messages: u32,
    pub max_attempts: u32,
    /// True where `Cancel` is permitted.
    pub cancel: bool,
    pub retry_after: bool,
    pub max_retry_after: Micros,
    /// True where the list comes only after a `Subscribe`.
    pub subscription_required: bool,
    /// True where an entry's `weight` is a rate of calls a second; false: it says nothing.
    pub weight_is_rate: bool,
    /// True where such a rate may be up to half too high or too low.
    pub weight_is_approximate: bool,
    /// Where a report holds the share of an allowance that is left, and the limit in calls a second.
    pub limit_report: Option<(usize, usize)>,
    pub zone: u32,
    pub keepalive: Micros,
    pub streams_per_connection: u32,
    pub slow_start_share: f64,
    pub slow_start: Micros,
    pub overload_span: Micros,
    pub overload_multiple: f64,
    pub key_cooldown: Micros,
    /// Nothing new goes to an endpoint later than this after its drain was told.
    pub drain_grace: Micros,
    pub decay: Decay,
    pub above_share_value: f64,
    pub cross_zone_price: f64,
    pub classes: Vec<MessageClass>,
    /// Slots for streams that are on their way to their last byte, and their part of a destination's window.
    pub stream_slots: u32,
    pub stream_window_share: f64,
    /// Messages a second inside each tenant's share, over all senders; 0 for no such limit.
    pub tenants: Vec<f64>,
    pub kinds: Vec<DestinationKind>,
}

impl Default for Settings {
    #[rustfmt::skip]
    fn default() -> Self {
        Settings {
            sender_index: 0, sender_count: 1, slots: 16, max_open_messages: 1000, max_attempts: 3,
            cancel: false, subscription_required: false, retry_after: true, max_retry_after: 3_000_000,
            weight_is_rate: false, weight_is_approximate: true, limit_report: None,
            zone: 0, cross_zone_price: 0.0, keepalive: 5_000_000, streams_per_connection: 1,
            stream_slots: 0, stream_window_share: 0.0,
            slow_start_share: 0.2, slow_start: 10_000_000, overload_span: 2_000_000, overload_multiple: 1.5, key_cooldown: 0, drain_grace: 500_000,
            decay: Decay::Linear, above_share_value: 1.0,
            classes: Vec::new(), tenants: Vec::new(), kinds: Vec::new(),
        }
    }
}

impl Settings {
    /// # Errors
    /// No instance can run under them.
    pub fn check(&self) -> Result<(), SettingsError> {
        let sound = |x: f64| x.is_finite() && x >= 0.0;
        let shares = [self.slow_start_share, self.overload_multiple, self.above_share_value];
        let worths = self.classes.iter().flat_map(|c| [c.value, c.late_value, c.latency_target_stretch]);
        let all = shares.into_iter().chain(worths).all(sound);
        let wrong = "no slot, no attempt, or a share or worth that is no number of zero or more";
        if self.slots > 0 && self.max_attempts > 0 && all { Ok(()) } else { Err(SettingsError(wrong)) }
    }
}

/// Settings that no instance can run under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "impossible settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub enum EndpointState {
    Gone,
    Ready,
    Draining,
}

/// One line of the list of endpoints.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    pub endpoint: EndpointId,
    pub dest: DestId,
    pub kind: usize,
    pub zone: u32,
    pub weight: f64,
    pub state: EndpointState,
    /// It was out by the operators' word and may have been restarted: the destination counts as returning.
    pub returning: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    Delta,
    /// The whole list, fresh or cached: what is not in it is gone.
    Full,
    Failed,
}

#[derive(Clone, Debug)]
pub struct Message {
    pub id: MsgId,
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Option<u64>,
    pub deadline: Micros,
    /// A guess of the message's own work, if given.
    pub work_hint: Option<Micros>,
    pub dest: DestId,
    /// Its body is passed on as it comes: a call's time counts from [`DispatchEvent::Written`] on.
    pub stream: bool,
    /// Bytes that it takes in a call with others; 0 where that does not matter.
    pub size: u64,
}

/// An attempt that an earlier life of the sender made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PastAttempt {
    pub zone: u32,
    pub sent: Micros,
    /// False only where its outcome proves that it never ran.
    pub may_have_run: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

#[derive(Clone, Debug)]
pub enum DispatchEvent {
    List {
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
    },
    Submit(Message),
    /// A message taken on in an earlier life of this sender, with the attempts it has had.
    Restore {
        message: Message,
        past: Vec<PastAttempt>,
    },
    /// The process ends at this time: nothing new starts that would hardly be over by then.
    Stop {
        at: Micros,
    },
    Completed(Completion),
    /// The last byte of a stream's call was written.
    Written {
        msg: MsgId,
        attempt: u32,
    },
    /// The result of a probe; none is ever sent, so it is ignored.
    ProbeCompleted {
        endpoint: EndpointId,
        outcome: Outcome,
        elapsed: Micros,
        report: Vec<f64>,
    },
    /// Nobody wants this message any more.
    Hangup {
        msg: MsgId,
    },
    Timer {
        tag: u64,
    },
    /// A note of a peer. Nothing is decided from notes at present.
    Peer {
        from: u32,
        body: Vec<u8>,
    },
    /// A stream began. No class here streams; it is ignored.
    Headers {
        msg: MsgId,
        attempt: u32,
    },
}

#[derive(Clone, Debug)]
pub struct Completion {
    pub msg: MsgId,
    pub attempt: u32,
    pub outcome: Outcome,
    pub elapsed: Micros,
    /// True: nothing more is owed for the message.
    pub finished: bool,
    /// For `Full`: how long to wait; 0 for none told.
    pub wait: Micros,
    pub report: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    Send {
        msg: MsgId,
        endpoint: EndpointId,
        timeout: Micros,
        /// No byte of it may leave from then on: a repeat would not be dropped any more. The clock's end
        /// where nothing sets such a time.
        send_before: Micros,
        /// It travels in the call of the `Send` before it, to the same endpoint.
        joins_previous: bool,
    },
    /// End the message; the client may come again after `after` (0: no advice).
    Reject {
        msg: MsgId,
        after: Micros,
    },
    /// End the message as failed; nothing is promised.
    Fail {
        msg: MsgId,
    },
    Cancel {
        msg: MsgId,
        attempt: u32,
    },
    CloseIdle {
        endpoint: EndpointId,
    },
    Subscribe,
    /// A line for the on-call record.
    Log(String),
    Timer {
        after: Micros,
        tag: u64,
    },
}

/// A lane as seen from outside, for tests and for on-call staff.
#[derive(Clone, Debug, PartialEq)]
pub struct LaneView {
    pub smoothed_latency: Option<f64>,
    pub window: f64,
    pub threshold: f64,
    pub in_flight: u32,
    pub in_outage: bool,
}
