//! Stable text form of the settings: on an upgrade two processes compare its checksum. The names in the text are
//! those of the first version and do not follow renames in the code, since an older process would consider the
//! settings different.

use crate::settings::{Decay, DestinationKind, Effect, MessageClass, Settings};
use std::fmt::{Debug, Formatter, Result};

impl Settings {
    /// Returns the settings as one line of text, in the stable form whose checksum two processes compare.
    pub fn mark_text(&self) -> String {
        format!("{:?}", SettingsText(self))
    }
}

struct SettingsText<'a>(&'a Settings);
struct ClassText<'a>(&'a MessageClass);
struct KindText<'a>(&'a DestinationKind);
struct EffectText<'a>(&'a Effect);
struct DecayText<'a>(&'a Decay);

impl Debug for SettingsText<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let settings = self.0;
        let classes: Vec<_> = settings.classes.iter().map(ClassText).collect();
        let kinds: Vec<_> = settings.kinds.iter().map(KindText).collect();
        formatter
            .debug_struct("Settings")
            .field("me", &settings.sender_index)
            .field("siblings", &settings.sender_count)
            .field("slots", &settings.slots)
            .field("open_cap", &settings.max_open_messages)
            .field("max_attempts", &settings.max_attempts)
            .field("cancel", &settings.cancel)
            .field("retry_after", &settings.retry_after)
            .field("max_retry_after", &settings.max_retry_after)
            .field("must_ask", &settings.subscription_required)
            .field("weight_is_rate", &settings.weight_is_rate)
            .field("weight_is_rough", &settings.weight_is_approximate)
            .field("limit_report", &settings.limit_report.map(|fields| (fields.left, fields.rate)))
            .field("zone", &settings.zone)
            .field("keepalive", &settings.keepalive)
            .field("streams_per_conn", &settings.streams_per_connection)
            .field("cold_from", &settings.slow_start_share)
            .field("cold", &settings.slow_start)
            .field("fall", &settings.overload_span)
            .field("fall_multiple", &settings.overload_multiple)
            .field("key_quiet", &settings.key_cooldown)
            .field("heed", &settings.drain_grace)
            .field("decay", &DecayText(&settings.decay))
            .field("over_share_worth", &settings.above_share_value)
            .field("cross_zone_price", &settings.cross_zone_price)
            .field("classes", &classes)
            .field("stream_slots", &settings.stream_slots)
            .field("stream_part", &settings.stream_window_share)
            .field("tenants", &settings.tenants)
            .field("kinds", &kinds)
            .finish()
    }
}

impl Debug for ClassText<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let class = self.0;
        formatter
            .debug_struct("Class")
            .field("effect", &EffectText(&class.effect))
            .field("aim", &class.latency_target)
            .field("aim_stretch", &class.latency_target_stretch)
            .field("deadline", &class.deadline)
            .field("worth", &class.value)
            .field("late_worth", &class.late_value)
            .field("keep_order", &class.keep_order)
            .finish()
    }
}

impl Debug for KindText<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter
            .debug_struct("Kind")
            .field("separate_routes", &self.0.separate_routes)
            .field("batch", &self.0.batch)
            .finish()
    }
}

impl Debug for EffectText<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self.0 {
            Effect::Idempotent => formatter.write_str("Safe"),
            Effect::Deduplicated { span, by_zone } => {
                formatter.debug_struct("Keyed").field("span", span).field("by_zone", by_zone).finish()
            }
            Effect::NonIdempotent => formatter.write_str("Unsafe"),
        }
    }
}

impl Debug for DecayText<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter.write_str(match self.0 {
            Decay::Linear => "Linear",
            Decay::Halving => "Halving",
        })
    }
}
