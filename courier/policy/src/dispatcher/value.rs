//! The value of a message by its age: full up to its latency target, then decreasing until its deadline.

use super::message::{PendingMessage, ValueGroup};
use super::state::Dispatcher;
use crate::ids::Micros;
use crate::settings::Decay;
use quillmount_containers::breakpoints;

/// Time ahead at which a message's value is compared with its present value to estimate the loss by waiting,
/// microseconds.
pub const VALUE_HORIZON: Micros = 2 * super::time::SECOND;

impl Dispatcher {
    /// Value of a message that gets its result at `result_at`.
    pub(super) fn value_at(&self, message: &PendingMessage, result_at: Micros) -> f64 {
        let class = &self.settings.classes[message.class];
        let target = message.created_at + message.latency_target;
        let lateness = result_at.saturating_sub(target) as f64;
        let span = (message.deadline.saturating_sub(target)).max(1) as f64;
        match self.settings.decay {
            _ if lateness <= 0.0 => message.value,
            _ if result_at >= message.deadline => 0.0,
            Decay::Linear => message.value * (1.0 - (1.0 - class.late_value) * lateness / span),
            Decay::Halving => {
                message.value
                    * 0.5f64.powf(lateness / message.latency_target.max(1) as f64).max(class.late_value)
            }
        }
    }

    /// Ages between which both the value of a group's messages and their loss of value over the next `ahead`
    /// microseconds are monotonic.
    pub(super) fn breakpoints(&self, group: &ValueGroup, ahead: Micros) -> Vec<Micros> {
        let class = &self.settings.classes[group.class];
        let floor = group.latency_target as f64 * (1.0 - class.late_value.max(f64::MIN_POSITIVE).log2());
        breakpoints(&[group.latency_target, floor as Micros, group.lifetime], ahead)
    }
}
