//! Access to all state that decisions depend on, for state-space explorers that compare states. Each value is visited
//! once, by its kind.

use crate::ids::{EndpointId, Micros, MsgId};

/// Receives the values of a state in a fixed order. Two states with the same values behave the same from then on,
/// except for the ids of messages and endpoints and the origin of the clock; a visitor may map those to a canonical
/// form.
pub trait StateVisitor {
    /// Visits a number, or a value that is compared as one.
    fn visit_u64(&mut self, value: u64);
    /// Visits a time of the clock. 0 and [`Micros::MAX`] are possible and mean never.
    fn visit_time(&mut self, time: Micros);
    /// Visits the id of a message; [`MsgId::MAX`] means none.
    fn visit_message(&mut self, id: MsgId);
    /// Visits the id of an endpoint; [`EndpointId::MAX`] means none.
    fn visit_endpoint(&mut self, id: EndpointId);

    /// Visits a floating-point number by its bits.
    fn visit_f64(&mut self, value: f64) {
        self.visit_u64(value.to_bits());
    }

    /// Visits a flag as 0 or 1.
    fn visit_bool(&mut self, value: bool) {
        self.visit_u64(value.into());
    }
}
