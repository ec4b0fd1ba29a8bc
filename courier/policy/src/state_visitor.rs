//! Access to all state that decisions depend on, for explorers that compare states: each value is visited once, by its kind.

use crate::ids::{EndpointId, Micros, MsgId};

/// Visits values in a fixed order. Two states with the same visits behave the same from there on, except for the ids of
/// messages and endpoints and the clock's zero; a visitor may map those to a canonical form.
pub trait StateVisitor {
    /// A number, or anything that is compared as one.
    fn visit_u64(&mut self, value: u64);
    /// A time of the clock. 0 and [`Micros::MAX`] are included and mean never.
    fn visit_time(&mut self, at: Micros);
    /// The id of a message; [`MsgId::MAX`] means none.
    fn visit_message(&mut self, id: MsgId);
    /// The id of an endpoint; [`EndpointId::MAX`] means none.
    fn visit_endpoint(&mut self, id: EndpointId);

    /// A floating-point number, by its bits.
    fn visit_f64(&mut self, value: f64) {
        self.visit_u64(value.to_bits());
    }

    /// A flag.
    fn visit_bool(&mut self, value: bool) {
        self.visit_u64(value.into());
    }
}
