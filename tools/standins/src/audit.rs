//! The auditor: from the answers to clients, from what partners and the platform received, and from the journals of the
//! couriers it finds every rule that was broken. [`audit`] is a pure function of a [`History`]; the order of its lists does
//! not matter.
//!
//! What is unknown is no finding: a message whose client got no answer needs no end, a call in a [`FaultWindow`] may end
//! otherwise, as the courier may have missed its answer, and a takeover is given by [`Seal`]s.
//!
//! `history` and `rules` are the input, `finding` the output; `ends`, `calls`, `budgets`, `journals` and `settlements` check one
//! concern each.

mod budgets;
mod calls;
mod ends;
mod finding;
mod history;
mod journals;
mod messages;
mod rules;
mod settlements;

pub use finding::{CallEvidence, Finding, SettlementFault};
pub use history::{
    Budget, ConnectionCount, FaultWindow, History, Journal, Notice, ObservedCall, Seal, Submission,
};
pub use rules::{AuditRules, RepeatPolicy};
pub use settlements::{SettlementEnd, SettlementOutcome, SettlementPosition, SettlementSession};

use journals::JournalIndex;

/// Every rule that was broken, in the order of messages, then partners, journals and settlements.
pub fn audit(history: &History) -> Vec<Finding> {
    let messages = messages::by_id(history);
    let journals = JournalIndex::read(&history.journals);
    let mut found = Vec::new();
    for (id, message) in &messages {
        ends::check(id, message, history, &journals, &mut found);
        calls::check(id, message, history, &mut found);
        calls::check_seals(id, message, history, &mut found);
    }
    budgets::check(history, &mut found);
    journals.check(history, &messages, &mut found);
    settlements::check(&history.positions, &history.ends, &mut found);
    found
}
