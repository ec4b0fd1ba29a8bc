//! The value of a message as it ages: full up to its latency target, then falling to its deadline.

use super::message::{PendingMessage, ValueGroup};
use super::state::Dispatcher;
use crate::ids::Micros;
use crate::settings::Decay;
use quillmount_containers::breakpoints;

/// How far ahead the loss by waiting is looked for, microseconds.
pub const HORIZON: Micros = 2 * super::time::SECOND;

impl Dispatcher {
    /// The value of a message that has its result at this time.
    pub(super) fn value_at(&self, message: &PendingMessage, at: Micros) -> f64 {
        let class = &self.settings.classes[message.class];
        let target = message.created_at + message.latency_target;
        let late = at.saturating_sub(target) as f64;
        let span = (message.deadline.saturating_sub(target)).max(1) as f64;
        match self.settings.decay {
            _ if late <= 0.0 => message.value,
            _ if at >= message.deadline => 0.0,
            Decay::Linear => message.value * (1.0 - (1.0 - class.late_value) * late / span),
            Decay::Halving => {
                message.value * 0.5f64.powf(late / message.latency_target.max(1) as f64).max(class.late_value)
            }
        }
    }

    /// The ages between which the value of a group's messages, and their loss by waiting for `ahead`, change steadily.
    pub(super) fn breakpoints(&self, group: &ValueGroup, ahead: Micros) -> Vec<Micros> {
        let class = &self.settings.classes[group.class];
        let floor = group.latency_target as f64 * (1.0 - class.late_value.max(f64::MIN_POSITIVE).log2());
        breakpoints(&[group.latency_target, floor as Micros, group.lifetime], ahead)
    }
}
