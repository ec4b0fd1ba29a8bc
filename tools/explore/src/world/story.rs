//! A state as text, for the story of a path.

use crate::case::CLASSES;
use crate::monitor::{ObservedCall, ObservedMessage};
use crate::world::state::{START, World, call_ref};
use quillmount_policy::Micros;

impl World {
    /// The state in a few lines, for the story of a path.
    pub fn describe(&self) -> Vec<String> {
        let messages = self.monitor.messages.iter().enumerate();
        let mut lines: Vec<String> = messages.map(|(n, message)| describe_message(n, message)).collect();
        lines.extend(
            self.calls.values().map(|out| {
                format!("{}: {:?}, to provider {}", call_ref(out), out.call.state(), out.endpoint)
            }),
        );
        lines
    }
}

fn describe_message(n: usize, message: &ObservedMessage) -> String {
    let sent: Vec<String> = message.calls.iter().map(describe_call).collect();
    let end = match (message.delivered, message.gone, message.notice) {
        (true, ..) => "delivered".to_string(),
        (_, true, _) => "over".to_string(),
        (.., Some(end)) => format!("{end:?}"),
        _ => "open".to_string(),
    };
    format!(
        "m{n}: {}, {:?}, until {}; {}; {end}",
        CLASSES[message.class as usize],
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
