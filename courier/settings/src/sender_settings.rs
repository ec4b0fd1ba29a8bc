//! The form of the settings object, with the names of JSON and TOML. What is absent has the policy's default.
//!
//! `quillmount check` and the simulator's adapter show errors of `serde`, which quote the names of these types.

use serde::Deserialize;

/// The settings of one sender.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct SenderSettings {
    /// Classes of messages.
    #[serde(rename = "categories")]
    pub classes: Vec<Category>,
    /// Prices that count against the value of a call.
    pub deductions: Deductions,
    /// How the endpoint list is received: `"subscribe"` where it has to be subscribed to.
    pub discovery: Option<String>,
    /// Names of the zones, which fail independently of each other.
    #[serde(rename = "failure_domains")]
    pub zones: Vec<String>,
    /// Settings of the destinations.
    #[serde(rename = "family_info")]
    pub destinations: DestinationSettings,
    /// Limits of the sender.
    pub limits: Limits,
    /// Load reports of the receivers.
    pub load_report: LoadReportSettings,
    /// The sender's number among all of them, from 0.
    #[serde(rename = "me")]
    pub sender_index: Option<u32>,
    /// Factor on the value of messages above their tenant's share.
    #[serde(rename = "over_share_worth")]
    pub above_share_value: Option<f64>,
    /// Rules of the receivers.
    pub rules: RuleSettings,
    /// Number of senders that share the destinations.
    #[serde(rename = "siblings")]
    pub sender_count: Option<u32>,
    /// Names of the kinds of destinations.
    #[serde(rename = "skus")]
    pub kinds: Vec<String>,
    /// Tenants with their shares.
    pub tenants: Vec<Tenant>,
    /// What the weights of the endpoint list are: `"nominal"` for rates, `"rough"` for approximate ones.
    pub weight_source: Option<String>,
    /// Name of the zone in which the sender runs.
    pub zone: Option<String>,
}

/// A class of messages.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Category {
    /// Its name, the first part of the path of a submission.
    pub name: String,
    /// What a repeat may do: `"retryable"`, `"dedup"` or `"fragile"`, which is the default.
    pub effect: Option<String>,
    /// Which endpoints drop repeats: `"zone"` for those of one zone, else the whole destination.
    pub dedup_scope: Option<String>,
    /// How long repeats are dropped, milliseconds.
    pub memory_span_ms: f64,
    /// Age up to which a message keeps its full value, milliseconds.
    #[serde(rename = "promise_ms")]
    pub latency_target_ms: f64,
    /// The latency target grows by this multiple of the message's own work.
    #[serde(rename = "aim_stretch")]
    pub latency_target_stretch: Option<f64>,
    /// Time from a message's creation to its deadline, milliseconds.
    pub deadline_ms: f64,
    /// Value of a message that is on time; 1 by default.
    #[serde(rename = "worth")]
    pub value: Option<f64>,
    /// Fraction of the value that is left just before the deadline; 0 by default.
    #[serde(rename = "late_worth")]
    pub late_value: Option<f64>,
    /// Messages with the same key go in the order of submission.
    pub keep_order: Option<bool>,
}

/// Prices that count against the value of a call, in the unit of [`Category::value`].
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Deductions {
    /// Of a call to another zone.
    pub cross_zone: f64,
}

/// Settings of the destinations.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct DestinationSettings {
    /// Messages that one call may carry, by kind in the order of [`SenderSettings::kinds`]; 1 where it lacks one.
    pub batch_by_kind: Vec<u32>,
    /// Calls of the sender that may be in flight at once.
    pub call_slots: Option<u32>,
    /// How values fall after the latency target: `"halving"`, else in a straight line.
    pub decay: Option<String>,
    /// Each endpoint is a route of its own, by kind; false where it lacks one.
    pub separate_routes: Vec<bool>,
}

/// Load reports of the receivers.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct LoadReportSettings {
    /// Names of the numbers of a report, in their order.
    pub fields: Vec<String>,
    /// How reports are received: `"answers"` where answers carry them.
    pub via: Option<String>,
}

/// Limits of the sender.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Limits {
    /// Calls may be cancelled.
    pub cancel: Option<bool>,
    /// How long to wait for a connection, milliseconds.
    pub dial_timeout_ms: Option<f64>,
    /// How long an idle connection can be used, milliseconds.
    pub keepalive_ms: Option<f64>,
    /// Attempts of one message at most.
    pub max_attempts: Option<u32>,
    /// Longest advice when to submit a rejected message once more, milliseconds.
    pub max_retry_after_ms: Option<f64>,
    /// Open messages at most.
    #[serde(rename = "open_cap")]
    pub max_open_messages: Option<u32>,
    /// A rejection may carry such advice.
    pub retry_after: Option<bool>,
    /// A message may have two attempts in flight (a hedged request); true by default. If not, a call with no time left for a
    /// message is given up, rather than left in flight for the other messages that it carries.
    #[serde(rename = "second_copies")]
    pub hedged_requests: Option<bool>,
    /// Calls that one connection carries at once.
    #[serde(rename = "streams_per_conn")]
    pub streams_per_connection: Option<u32>,
}

/// Rules of the receivers, on slow start and overload.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct RuleSettings {
    /// Share of its capacity that a destination has when it returns from an outage.
    #[serde(rename = "cold_from")]
    pub slow_start_share: Option<f64>,
    /// How long it takes until it has its full capacity, milliseconds.
    #[serde(rename = "cold_ms")]
    pub slow_start_ms: Option<f64>,
    /// Interval over which calls are counted that may overload a destination, milliseconds.
    #[serde(rename = "fall_ms")]
    pub overload_span_ms: Option<f64>,
    /// Multiple of its capacity that a destination withstands over that interval.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: Option<f64>,
    /// How long no other message of a key is sent after a call without an answer, milliseconds.
    #[serde(rename = "key_quiet_ms")]
    pub key_cooldown_ms: Option<f64>,
    /// Nothing new goes to an endpoint later than this after its drain was announced, milliseconds.
    #[serde(rename = "stop_sending_within_ms")]
    pub drain_grace_ms: Option<f64>,
}

/// A tenant.
#[derive(Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Messages a second inside its share, over all senders; 0 for no limit.
    #[serde(default)]
    pub allowance_per_s: f64,
}
