//! A look at all that decides, for whoever explores its states: each value is shown once, by what it is.

use crate::interface::{EndpointId, Micros, MsgId};

/// Sees values in a fixed order. Two states that look the same behave the same from there on, save for
/// names and for the clock's zero; what an eye makes of names and times is its own affair.
pub trait Eye {
    fn word(&mut self, word: u64);
    /// A time of the clock, 0 and the clock's end included, which stand for never.
    fn time(&mut self, at: Micros);
    fn message(&mut self, id: MsgId);
    fn endpoint(&mut self, id: EndpointId);

    fn real(&mut self, x: f64) {
        self.word(x.to_bits());
    }

    fn flag(&mut self, x: bool) {
        self.word(x.into());
    }
}
