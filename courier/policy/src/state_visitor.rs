//! A look at all that decides, for whoever explores its states: each value is shown once, by what it is.

use crate::ids::{EndpointId, Micros, MsgId};

/// Sees values in a fixed order. Two states that look the same behave the same from there on, save for
/// names and for the clock's zero; what an eye makes of names and times is its own affair.
pub trait StateVisitor {
    fn visit_u64(&mut self, value: u64);
    /// A time of the clock, 0 and the clock's end included, which stand for never.
    fn visit_time(&mut self, at: Micros);
    fn visit_message(&mut self, id: MsgId);
    fn visit_endpoint(&mut self, id: EndpointId);

    fn visit_f64(&mut self, x: f64) {
        self.visit_u64(x.to_bits());
    }

    fn visit_bool(&mut self, x: bool) {
        self.visit_u64(x.into());
    }
}
