//! The settings of an instance: classes of messages, kinds of destinations, and limits.

use crate::ids::Micros;

/// The effect of delivering a message of a class more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat has no further effect: the message may always be retried or rejected.
    Idempotent,
    /// The receiver drops repeats.
    Deduplicated {
        /// How long the receiver drops repeats, from the first attempt that may have run, microseconds.
        span: Micros,
        /// Whether only the endpoints of the first attempt's zone drop repeats; false if all endpoints of the
        /// destination do.
        by_zone: bool,
    },
    /// The message must take effect at most once: a retry needs proof that no earlier attempt ran.
    NonIdempotent,
}

/// How a message's value decreases after its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Linear decrease to the class's late value at the deadline.
    Linear,
    /// The value halves with each further latency target, down to the class's late value; it is 0 from the deadline on.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug)]
pub struct MessageClass {
    /// Effect of a repeated delivery, which decides whether a message may be retried.
    pub effect: Effect,
    /// Age up to which a message has its full value, microseconds.
    pub latency_target: Micros,
    /// The latency target is extended by this multiple of the message's estimated work; 0 for no extension.
    pub latency_target_stretch: f64,
    /// Time from a message's creation to its deadline, microseconds.
    pub deadline: Micros,
    /// Value of a message that is delivered within the latency target: 0 or more, without a unit.
    pub value: f64,
    /// Fraction of the value that remains just before the deadline.
    pub late_value: f64,
    /// Whether messages with the same key are sent one after another, in the order of submission.
    pub keep_order: bool,
}

/// Maximum total bytes of the messages of one call: no body on the wire may be larger than 64 KiB.
pub const MAX_CALL_BYTES: u64 = 64 * 1024 - 2;

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// Whether each endpoint is a route with a latency and a window of its own; false if the destination has one route.
    pub separate_routes: bool,
    /// Maximum number of messages in one call; 0 counts as 1.
    pub batch: u32,
}

/// Indices of the fields of a load report that describe a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReportFields {
    /// Index of the number of calls that remain in the current allowance.
    pub left: usize,
    /// Index of the limit, calls a second.
    pub rate: usize,
}

/// The configuration of an instance. `Settings::default()` has no classes and no kinds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of this sender, from 0 to `sender_count - 1`.
    pub sender_index: u32,
    /// Number of senders that share the destinations.
    pub sender_count: u32,
    /// Maximum number of calls in flight.
    pub slots: u32,
    /// Maximum number of open messages; load shedding starts at nine tenths of it.
    pub max_open_messages: u32,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// Whether [`Cancel`](crate::DispatchAction::Cancel) is permitted.
    pub cancel: bool,
    /// Whether a rejection may carry advice when to submit the message again.
    pub retry_after: bool,
    /// Maximum delay that a rejection advises, microseconds.
    pub max_retry_after: Micros,
    /// Whether the host delivers the endpoint list only after a [`Subscribe`](crate::DispatchAction::Subscribe).
    pub subscription_required: bool,
    /// Whether an entry's `weight` is a rate limit in calls a second; false if it is to be ignored.
    pub weight_is_rate: bool,
    /// Whether a rate in an entry's `weight` may be up to half too high or too low.
    pub weight_is_approximate: bool,
    /// Fields of a load report that describe a limit; `None` if answers have no such fields.
    pub limit_report: Option<LimitReportFields>,
    /// Zone in which the sender runs.
    pub zone: u32,
    /// How long an idle connection remains usable, microseconds.
    pub keepalive: Micros,
    /// Number of concurrent calls on one connection; 0 counts as 1.
    pub streams_per_connection: u32,
    /// Fraction of its capacity that a destination has when it returns from an outage.
    pub slow_start_share: f64,
    /// Time after its return until a destination has its full capacity, microseconds.
    pub slow_start: Micros,
    /// Time span over which calls are counted to detect an overload of a destination, microseconds.
    pub overload_span: Micros,
    /// Multiple of its capacity that a destination tolerates over that span.
    pub overload_multiple: f64,
    /// How long no other message of the same key is sent after a call without an answer, microseconds.
    pub key_cooldown: Micros,
    /// No call to an endpoint starts later than this after its drain was announced, microseconds. The dispatcher
    /// starts none after it receives the list update; the host (the watch of `quillmount-core`) polls discovery often
    /// enough for the update to arrive in time.
    pub drain_grace: Micros,
    /// How the values of messages decrease after the latency target.
    pub decay: Decay,
    /// Factor applied to the value of messages above their tenant's share.
    pub above_share_value: f64,
    /// Price of a call to another zone. If it is above 0, endpoints in the sender's zone are preferred.
    pub cross_zone_price: f64,
    /// Classes of messages; [`Message::class`](crate::Message::class) is an index into them.
    pub classes: Vec<MessageClass>,
    /// Maximum number of streams whose last byte has not been written.
    pub stream_slots: u32,
    /// Fraction of a route's window that streams may use.
    pub stream_window_share: f64,
    /// Share of each tenant, messages a second over all senders; 0 for no limit.
    pub tenants: Vec<f64>,
    /// Kinds of destinations; [`EndpointEntry::kind`](crate::EndpointEntry::kind) is an index into them.
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
    /// `slots` or `max_attempts` is 0, or a share, rate or value is negative, infinite or NaN.
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

/// The reason why [`Settings::check`] rejects the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// `slots` is 0, so that no call could be made.
    #[error("invalid settings: slots is 0, set it to 1 or more")]
    NoSlot,
    /// `max_attempts` is 0, so that no message could be sent.
    #[error("invalid settings: max_attempts is 0, set it to 1 or more")]
    NoAttempt,
    /// A share, rate or value is negative, infinite or NaN.
    #[error("invalid settings: the {field} must be a finite number of 0 or more")]
    InvalidNumber {
        /// Name of the field, as in the error message.
        field: &'static str,
    },
}
