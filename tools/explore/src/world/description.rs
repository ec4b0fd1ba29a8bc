//! A state as text, for the trace of a path.

use crate::case::CLASSES;
use crate::monitor::{ObservedCall, ObservedMessage};
use crate::world::state::{START, World, call_ref};
use quillmount_policy::Micros;

impl World {
    /// The state in a few lines, for the trace of a path.
    pub fn describe(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for (index, message) in self.monitor.messages.iter().enumerate() {
            lines.push(describe_message(index, message));
        }
        for outstanding in self.calls.values() {
            let (state, endpoint) = (outstanding.call.state(), outstanding.endpoint);
            lines.push(format!("{}: {state:?}, to provider {endpoint}", call_ref(outstanding)));
        }
        lines
    }
}

fn describe_message(index: usize, message: &ObservedMessage) -> String {
    let sent: Vec<String> = message.calls.iter().map(describe_call).collect();
    let end = match (message.delivered, message.gone, message.notice) {
        (true, ..) => "delivered".to_string(),
        (_, true, _) => "over".to_string(),
        (.., Some(end)) => format!("{end:?}"),
        _ => "open".to_string(),
    };
    format!(
        "m{index}: {}, {}, until {}; {}; {end}",
        CLASSES[usize::from(message.class)],
        message.acceptance,
        seconds(message.deadline),
        if sent.is_empty() { "not sent".into() } else { sent.join("; ") }
    )
}

fn describe_call(call: &ObservedCall) -> String {
    let last = call.last.map_or("not whole".into(), |at| format!("whole at {}", seconds(at)));
    let fate = if call.open {
        "open"
    } else if call.never_ran {
        "never ran"
    } else {
        "over"
    };
    format!("call {} from {}, {last}, {fate}", call.attempt, seconds(call.first))
}

/// A time since the beginning of the world, as text.
fn seconds(at: Micros) -> String {
    format!("{:.6} s", at.saturating_sub(START) as f64 / 1e6)
}
