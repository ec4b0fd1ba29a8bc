//! The settings of an instance: the classes of messages, the kinds of destinations and the limits it keeps to.

use crate::ids::Micros;

/// The effect of delivering a message of a class more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat has no further effect: the message may be retried and rejected freely.
    Idempotent,
    /// The receiver drops repeats.
    Deduplicated {
        /// How long it does so, from the first attempt that may have run, microseconds.
        span: Micros,
        /// Only the endpoints of one zone drop them; false: all endpoints of the destination.
        by_zone: bool,
    },
    /// Must take effect at most once: a retry needs proof that no earlier attempt ran.
    NonIdempotent,
}

/// How a message's value falls after its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Linearly, down to the class's late value at the deadline.
    Linear,
    /// By half with each further latency target, down to the class's late value; zero from the deadline on.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug)]
pub struct MessageClass {
    /// The effect of a repeat.
    pub effect: Effect,
    /// Age up to which a message keeps its full value, microseconds.
    pub latency_target: Micros,
    /// The latency target grows by this multiple of the message's own work; 0 for none.
    pub latency_target_stretch: f64,
    /// Time from a message's creation to its deadline, microseconds.
    pub deadline: Micros,
    /// Value of a message that is on time: zero or more, without a unit.
    pub value: f64,
    /// Fraction of the value that is left just before the deadline.
    pub late_value: f64,
    /// Messages with the same key are sent one after another, in the order of submission.
    pub keep_order: bool,
}

/// Bytes that the messages of one call take together at most: no body on the wire may be larger than 64 KiB.
pub const MAX_CALL_BYTES: u64 = 64 * 1024 - 2;

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// Each endpoint is a route with a latency and a window of its own; false: a destination has one.
    pub separate_routes: bool,
    /// Messages that one call may carry; 0 counts as 1.
    pub batch: u32,
}

/// Indices of the fields of a load report that describe a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReportFields {
    /// The calls of the allowance that are left.
    pub left: usize,
    /// The limit, calls a second.
    pub rate: usize,
}

/// The configuration of an instance. Absent fields have the values of `Settings::default()`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This sender's number, from 0, among its `sender_count`.
    pub sender_index: u32,
    /// Senders that share the destinations.
    pub sender_count: u32,
    /// Calls that may be in flight at once.
    pub slots: u32,
    /// Open messages at most; shedding starts below that.
    pub max_open_messages: u32,
    /// Attempts of one message at most.
    pub max_attempts: u32,
    /// True where [`Cancel`](crate::DispatchAction::Cancel) is permitted.
    pub cancel: bool,
    /// A rejection may carry advice when to submit the message again.
    pub retry_after: bool,
    /// Longest such advice, microseconds.
    pub max_retry_after: Micros,
    /// True where the endpoint list comes only after a [`Subscribe`](crate::DispatchAction::Subscribe).
    pub subscription_required: bool,
    /// True where an entry's `weight` is a rate of calls a second; false: it has no meaning.
    pub weight_is_rate: bool,
    /// True where such a rate may be up to half too high or too low.
    pub weight_is_approximate: bool,
    /// Fields of a load report that describe a limit, where answers have them.
    pub limit_report: Option<LimitReportFields>,
    /// Zone in which the sender runs.
    pub zone: u32,
    /// How long an idle connection can be used, microseconds.
    pub keepalive: Micros,
    /// Calls that one connection carries at once; 0 counts as 1.
    pub streams_per_connection: u32,
    /// Share of its capacity that a destination has when it returns from an outage.
    pub slow_start_share: f64,
    /// How long it takes until it has all of it, microseconds.
    pub slow_start: Micros,
    /// Span over which calls are counted that may bring a destination down, microseconds.
    pub overload_span: Micros,
    /// Multiple of its capacity that a destination withstands over that span.
    pub overload_multiple: f64,
    /// How long no other message of a key is sent after a call without an answer, microseconds.
    pub key_cooldown: Micros,
    /// No call starts to an endpoint later than this after its drain was announced, microseconds. The dispatcher itself starts none
    /// once it is told; the host asks discovery so often that it is told in time (the watch of `quillmount-core`).
    pub drain_grace: Micros,
    /// How values fall after the latency target.
    pub decay: Decay,
    /// Factor of the value of messages above their tenant's share.
    pub above_share_value: f64,
    /// Price of a call to another zone; where it is above 0, endpoints in the own zone are preferred.
    pub cross_zone_price: f64,
    /// Classes; a message names its class by the index.
    pub classes: Vec<MessageClass>,
    /// Streams whose last byte has not been written, at most.
    pub stream_slots: u32,
    /// The share of a route's window that streams may use.
    pub stream_window_share: f64,
    /// Messages a second inside each tenant's share, over all senders; 0 for no such limit.
    pub tenants: Vec<f64>,
    /// Kinds of destinations; an entry of the endpoint list names its kind by the index.
    pub kinds: Vec<DestinationKind>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            sender_index: 0,
            sender_count: 1,
            slots: 16,
            max_open_messages: 1000,
            max_attempts: 3,
            cancel: false,
            retry_after: true,
            max_retry_after: 3_000_000,
            subscription_required: false,
            weight_is_rate: false,
            weight_is_approximate: true,
            limit_report: None,
            zone: 0,
            keepalive: 5_000_000,
            streams_per_connection: 1,
            slow_start_share: 0.2,
            slow_start: 10_000_000,
            overload_span: 2_000_000,
            overload_multiple: 1.5,
            key_cooldown: 0,
            drain_grace: 500_000,
            decay: Decay::Linear,
            above_share_value: 1.0,
            cross_zone_price: 0.0,
            classes: Vec::new(),
            stream_slots: 0,
            stream_window_share: 0.0,
            tenants: Vec::new(),
            kinds: Vec::new(),
        }
    }
}

impl Settings {
    /// Checks that an instance can run under these settings.
    ///
    /// # Errors
    /// There is no slot or no attempt, or a share or value is no finite number of zero or more.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.slots == 0 {
            return Err(SettingsError::NoSlot);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempt);
        }
        let shares = [
            ("slow_start_share", self.slow_start_share),
            ("overload_multiple", self.overload_multiple),
            ("above_share_value", self.above_share_value),
            ("cross_zone_price", self.cross_zone_price),
            ("stream_window_share", self.stream_window_share),
        ];
        let class_values = self.classes.iter().flat_map(|class| {
            [
                ("value of a class", class.value),
                ("late_value of a class", class.late_value),
                ("latency_target_stretch of a class", class.latency_target_stretch),
            ]
        });
        let tenant_rates = self.tenants.iter().map(|rate| ("rate of a tenant", *rate));
        let mut numbers = shares.into_iter().chain(class_values).chain(tenant_rates);
        let invalid = numbers.find(|(_, value)| !value.is_finite() || *value < 0.0);
        invalid.map_or(Ok(()), |(field, _)| Err(SettingsError::InvalidNumber { field }))
    }
}

/// Settings that no instance can run under, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No call may be in flight.
    #[error("impossible settings: slots is 0")]
    NoSlot,
    /// No attempt may be made.
    #[error("impossible settings: max_attempts is 0")]
    NoAttempt,
    /// A share, rate or value is negative, infinite or no number.
    #[error("impossible settings: the {field} is no number of zero or more")]
    InvalidNumber {
        /// What the number is.
        field: &'static str,
    },
}
