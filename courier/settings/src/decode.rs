//! Translation of the settings object to the policy's settings. What the object lacks keeps the policy's default.

use crate::error::{SettingsDecodeError, TimeError};
use crate::names::NameTable;
use crate::sender_settings::{Category, Limits, LoadReportSettings, RuleSettings, SenderSettings};
use quillmount_policy::{Decay, DestinationKind, Effect, MessageClass, Micros, Settings};

/// Longer times are taken for mistakes, microseconds.
const MAX_MICROS: f64 = 9e15;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Milliseconds as whole microseconds, rounded to the nearest; a negative number counts as zero. `field`: the setting, or the
/// field of a message, for the error.
///
/// # Errors
/// The number is not finite or too large.
pub fn micros_from_millis(field: &'static str, millis: f64) -> Result<Micros, TimeError> {
    let micros = millis * MICROS_PER_MILLI;
    if !micros.is_finite() || micros.abs() > MAX_MICROS {
        return Err(TimeError::OutOfRange { field, millis });
    }
    Ok(micros.max(0.0).round() as Micros)
}

/// The policy's settings. The zones get their numbers in `zones`, in the order of the list and then the sender's.
///
/// # Errors
/// A number is no time, or the effect of a message class is not known.
pub fn decode_settings(
    sender: &SenderSettings,
    zones: &mut NameTable,
) -> Result<Settings, SettingsDecodeError> {
    let mut settings = Settings::default();
    for zone in &sender.zones {
        zones.intern(zone);
    }
    set_if_given(&mut settings.sender_index, sender.sender_index);
    set_if_given(&mut settings.sender_count, sender.sender_count);
    set_if_given(&mut settings.slots, sender.destinations.call_slots);
    set_if_given(&mut settings.above_share_value, sender.above_share_value);
    apply_limits(&mut settings, &sender.limits)?;
    apply_rules(&mut settings, &sender.rules)?;
    settings.subscription_required = sender.discovery.as_deref() == Some("subscribe");
    apply_rates(&mut settings, sender.weight_source.as_deref(), &sender.load_report);
    if sender.destinations.decay.as_deref() == Some("halving") {
        settings.decay = Decay::Halving;
    }
    settings.zone = sender.zone.as_deref().map_or(0, |zone| zones.intern(zone) as u32);
    settings.cross_zone_price = sender.deductions.cross_zone;
    settings.tenants = sender.tenants.iter().map(|tenant| tenant.allowance_per_s).collect();
    settings.kinds = (0..sender.kinds.len()).map(|index| destination_kind(sender, index)).collect();
    settings.classes = sender.classes.iter().map(message_class).collect::<Result<_, _>>()?;
    Ok(settings)
}

fn apply_limits(settings: &mut Settings, limits: &Limits) -> Result<(), TimeError> {
    set_if_given(&mut settings.max_open_messages, limits.max_open_messages);
    set_if_given(&mut settings.max_attempts, limits.max_attempts);
    set_if_given(&mut settings.cancel, limits.cancel);
    set_if_given(&mut settings.retry_after, limits.retry_after);
    set_if_given(&mut settings.streams_per_connection, limits.streams_per_connection);
    set_time_if_given(&mut settings.max_retry_after, "max_retry_after_ms", limits.max_retry_after_ms)?;
    set_time_if_given(&mut settings.keepalive, "keepalive_ms", limits.keepalive_ms)
}

fn apply_rules(settings: &mut Settings, rules: &RuleSettings) -> Result<(), TimeError> {
    set_if_given(&mut settings.slow_start_share, rules.slow_start_share);
    set_if_given(&mut settings.overload_multiple, rules.overload_multiple);
    set_time_if_given(&mut settings.slow_start, "cold_ms", rules.slow_start_ms)?;
    set_time_if_given(&mut settings.overload_span, "fall_ms", rules.overload_span_ms)?;
    set_time_if_given(&mut settings.drain_grace, "stop_sending_within_ms", rules.drain_grace_ms)?;
    set_time_if_given(&mut settings.key_cooldown, "key_quiet_ms", rules.key_cooldown_ms)
}

/// Where rates come from: weights of the endpoint list, or limits in load reports.
fn apply_rates(settings: &mut Settings, weight_source: Option<&str>, load_report: &LoadReportSettings) {
    settings.weight_is_rate = matches!(weight_source, Some("nominal" | "rough"));
    let field = |name: &str| load_report.fields.iter().position(|field| field == name);
    if load_report.via.as_deref() == Some("answers") {
        let fields = field("x0").zip(field("x1"));
        settings.limit_report =
            fields.map(|(left, rate)| quillmount_policy::LimitReportFields { left, rate });
    }
    // Where the list has no rate and answers report the limit, that limit is exact.
    settings.weight_is_approximate =
        weight_source != Some("nominal") && (settings.weight_is_rate || settings.limit_report.is_none());
}

fn destination_kind(sender: &SenderSettings, index: usize) -> DestinationKind {
    DestinationKind {
        separate_routes: sender.destinations.separate_routes.get(index).copied().unwrap_or(false),
        batch: sender.destinations.batch_by_kind.get(index).copied().unwrap_or(1),
    }
}

fn message_class(category: &Category) -> Result<MessageClass, SettingsDecodeError> {
    Ok(MessageClass {
        effect: effect(category)?,
        latency_target: micros_from_millis("promise_ms", category.latency_target_ms)?,
        latency_target_stretch: category.latency_target_stretch.unwrap_or(0.0),
        deadline: micros_from_millis("deadline_ms", category.deadline_ms)?,
        value: category.value.unwrap_or(1.0),
        late_value: category.late_value.unwrap_or(0.0),
        keep_order: category.keep_order.unwrap_or(false),
    })
}

fn effect(category: &Category) -> Result<Effect, SettingsDecodeError> {
    match category.effect.as_deref() {
        Some("retryable") => Ok(Effect::Idempotent),
        Some("dedup") => Ok(Effect::Deduplicated {
            span: micros_from_millis("memory_span_ms", category.memory_span_ms)?,
            by_zone: category.dedup_scope.as_deref() == Some("zone"),
        }),
        Some("fragile") | None => Ok(Effect::NonIdempotent),
        Some(other) => Err(SettingsDecodeError::UnknownEffect(other.to_owned())),
    }
}

fn set_if_given<T>(setting: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *setting = value;
    }
}

fn set_time_if_given(
    setting: &mut Micros,
    field: &'static str,
    millis: Option<f64>,
) -> Result<(), TimeError> {
    if let Some(millis) = millis {
        *setting = micros_from_millis(field, millis)?;
    }
    Ok(())
}
