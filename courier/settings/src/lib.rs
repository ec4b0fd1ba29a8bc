//! What a sender is told at its start, decoded once for both programs: the simulator's adapter and
//! the courier on sockets read the same settings object, with the same names and units.

use quillmount_policy::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct SenderSettings {
    pub categories: Vec<Category>,
    pub deductions: Deductions,
    pub discovery: Option<String>,
    pub failure_domains: Vec<String>,
    pub family_info: DestinationSettings,
    pub limits: Limits,
    pub load_report: LoadReportSettings,
    #[serde(rename = "me")]
    pub sender_index: Option<u32>,
    #[serde(rename = "over_share_worth")]
    pub above_share_value: Option<f64>,
    pub rules: RuleSettings,
    #[serde(rename = "siblings")]
    pub sender_count: Option<u32>,
    pub skus: Vec<String>,
    pub tenants: Vec<Tenant>,
    pub weight_source: Option<String>,
    pub zone: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Category {
    pub name: String,
    pub effect: Option<String>,
    pub dedup_scope: Option<String>,
    pub memory_span_ms: f64,
    #[serde(rename = "promise_ms")]
    pub latency_target_ms: f64,
    #[serde(rename = "aim_stretch")]
    pub latency_target_stretch: Option<f64>,
    pub deadline_ms: f64,
    #[serde(rename = "worth")]
    pub value: Option<f64>,
    #[serde(rename = "late_worth")]
    pub late_value: Option<f64>,
    pub keep_order: Option<bool>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Deductions {
    pub cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct DestinationSettings {
    pub batch_by_kind: Vec<u32>,
    pub call_slots: Option<u32>,
    pub decay: Option<String>,
    pub separate_routes: Vec<bool>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct LoadReportSettings {
    pub fields: Vec<String>,
    pub via: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Limits {
    pub cancel: Option<bool>,
    pub dial_timeout_ms: Option<f64>,
    pub keepalive_ms: Option<f64>,
    pub max_attempts: Option<u32>,
    pub max_retry_after_ms: Option<f64>,
    #[serde(rename = "open_cap")]
    pub max_open_messages: Option<u32>,
    pub retry_after: Option<bool>,
    #[serde(rename = "second_copies")]
    pub hedged_requests: Option<bool>,
    #[serde(rename = "streams_per_conn")]
    pub streams_per_connection: Option<u32>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct RuleSettings {
    #[serde(rename = "cold_from")]
    pub slow_start_share: Option<f64>,
    #[serde(rename = "cold_ms")]
    pub slow_start_ms: Option<f64>,
    #[serde(rename = "fall_ms")]
    pub overload_span_ms: Option<f64>,
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: Option<f64>,
    #[serde(rename = "key_quiet_ms")]
    pub key_cooldown_ms: Option<f64>,
    #[serde(rename = "stop_sending_within_ms")]
    pub drain_grace_ms: Option<f64>,
}

#[derive(Deserialize)]
pub struct Tenant {
    pub name: String,
    #[serde(default)]
    pub allowance_per_s: f64,
}

/// Names of one instance on the wire against the numbers that the library sees.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct NameTable {
    to_number: BTreeMap<String, u64>,
    to_name: BTreeMap<u64, String>,
    next: u64,
}

impl NameTable {
    pub fn intern(&mut self, name: &str) -> u64 {
        if let Some(n) = self.to_number.get(name) {
            return *n;
        }
        let n = self.next;
        self.next += 1;
        self.to_number.insert(name.to_string(), n);
        self.to_name.insert(n, name.to_string());
        n
    }
    /// The number is not used again.
    pub fn remove(&mut self, number: u64) {
        if let Some(name) = self.to_name.remove(&number) {
            self.to_number.remove(&name);
        }
    }
    pub fn get(&self, name: &str) -> Option<u64> {
        self.to_number.get(name).copied()
    }
    pub fn resolve(&self, number: u64) -> &str {
        self.to_name.get(&number).map_or("", |s| s.as_str())
    }
}

/// A count of milliseconds as the clock's whole microseconds; negative counts as none.
pub fn micros_from_millis(what: &str, ms: f64) -> Result<Micros, String> {
    let us = ms * 1000.0;
    if !us.is_finite() || us.abs() > 9e15 {
        return Err(format!("{what}: {ms} is not a time"));
    }
    Ok(us.max(0.0).round() as Micros)
}

/// A state of the list by its code on the simulator's wire.
pub fn list_state_from_code(code: u8) -> Result<EndpointState, String> {
    match code {
        0 => Ok(EndpointState::Gone),
        1 => Ok(EndpointState::Ready),
        2 => Ok(EndpointState::Draining),
        other => Err(format!("state: no state has the code {other}")),
    }
}

/// A state of the list by its name in discovery's answers.
pub fn list_state_from_name(name: &str) -> Result<EndpointState, String> {
    match name {
        "gone" => Ok(EndpointState::Gone),
        "ready" => Ok(EndpointState::Ready),
        "draining" => Ok(EndpointState::Draining),
        other => Err(format!("state: {other:?} is not known")),
    }
}

/// The library's settings; the zones' names get their numbers in `zones`.
pub fn decode_settings(env: &SenderSettings, zones: &mut NameTable) -> Result<Settings, String> {
    let mut settings = Settings::default();
    for z in &env.failure_domains {
        zones.intern(z);
    }
    let time = |slot: &mut Micros, what: &str, ms: Option<f64>| -> Result<(), String> {
        if let Some(ms) = ms {
            *slot = micros_from_millis(what, ms)?;
        }
        Ok(())
    };
    fn set<T>(slot: &mut T, value: Option<T>) {
        if let Some(v) = value {
            *slot = v;
        }
    }
    set(&mut settings.sender_index, env.sender_index);
    set(&mut settings.sender_count, env.sender_count);
    set(&mut settings.slots, env.family_info.call_slots);
    set(&mut settings.max_open_messages, env.limits.max_open_messages);
    set(&mut settings.max_attempts, env.limits.max_attempts);
    set(&mut settings.cancel, env.limits.cancel);
    set(&mut settings.retry_after, env.limits.retry_after);
    set(&mut settings.streams_per_connection, env.limits.streams_per_connection);
    set(&mut settings.slow_start_share, env.rules.slow_start_share);
    set(&mut settings.overload_multiple, env.rules.overload_multiple);
    set(&mut settings.above_share_value, env.above_share_value);
    time(&mut settings.max_retry_after, "max_retry_after_ms", env.limits.max_retry_after_ms)?;
    time(&mut settings.keepalive, "keepalive_ms", env.limits.keepalive_ms)?;
    time(&mut settings.slow_start, "cold_ms", env.rules.slow_start_ms)?;
    time(&mut settings.overload_span, "fall_ms", env.rules.overload_span_ms)?;
    time(&mut settings.drain_grace, "stop_sending_within_ms", env.rules.drain_grace_ms)?;
    time(&mut settings.key_cooldown, "key_quiet_ms", env.rules.key_cooldown_ms)?;
    settings.subscription_required = env.discovery.as_deref() == Some("subscribe");
    let weights = env.weight_source.as_deref();
    settings.weight_is_rate = matches!(weights, Some("nominal" | "rough"));
    let field = |name: &str| env.load_report.fields.iter().position(|f| f == name);
    if env.load_report.via.as_deref() == Some("answers") {
        settings.limit_report = field("x0").zip(field("x1"));
    }
    // Where the list tells no rate and answers report the limit, that is no rough figure.
    settings.weight_is_approximate =
        weights != Some("nominal") && (settings.weight_is_rate || settings.limit_report.is_none());
    if env.family_info.decay.as_deref() == Some("halving") {
        settings.decay = Decay::Halving;
    }
    settings.zone = env.zone.as_deref().map_or(0, |z| zones.intern(z) as u32);
    settings.cross_zone_price = env.deductions.cross_zone;
    settings.tenants = env.tenants.iter().map(|t| t.allowance_per_s).collect();
    for (n, _) in env.skus.iter().enumerate() {
        let separate_routes = env.family_info.separate_routes.get(n).copied().unwrap_or(false);
        let batch = env.family_info.batch_by_kind.get(n).copied().unwrap_or(1);
        settings.kinds.push(DestinationKind { separate_routes, batch });
    }
    for c in &env.categories {
        let effect = match c.effect.as_deref() {
            Some("retryable") => Effect::Idempotent,
            Some("dedup") => Effect::Deduplicated {
                span: micros_from_millis("memory_span_ms", c.memory_span_ms)?,
                by_zone: c.dedup_scope.as_deref() == Some("zone"),
            },
            Some("fragile") | None => Effect::NonIdempotent,
            Some(other) => return Err(format!("effect: {other:?} is not known")),
        };
        settings.classes.push(MessageClass {
            effect,
            latency_target: micros_from_millis("promise_ms", c.latency_target_ms)?,
            latency_target_stretch: c.latency_target_stretch.unwrap_or(0.0),
            deadline: micros_from_millis("deadline_ms", c.deadline_ms)?,
            value: c.value.unwrap_or(1.0),
            late_value: c.late_value.unwrap_or(0.0),
            keep_order: c.keep_order.unwrap_or(false),
        });
    }
    Ok(settings)
}
