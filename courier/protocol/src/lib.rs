//! The platform's HTTP/1.1 interfaces as typed values, without I/O: each message is decoded in one place and encoded in one.
//! `submission` and `stream` serve clients, `delivery` calls endpoints, `discovery` and `notice` talk to the platform, and
//! `operator` answers operators.

pub mod delivery;
pub mod discovery;
pub mod notice;
pub mod operator;
pub mod stream;
pub mod submission;

use quillmount_policy::Micros;

/// A span with a unit: `480m` milliseconds, `250u` microseconds; whole or decimal.
fn span(text: &str) -> Option<Micros> {
    let text = text.trim();
    let (number, scale) = match text.strip_suffix('m') {
        Some(number) => (number, 1_000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    decimal(number).and_then(|n| micros(n * scale))
}

/// Seconds, whole or decimal, as in `Retry-After`.
fn seconds(text: &str) -> Option<Micros> {
    decimal(text.trim()).and_then(|n| micros(n * 1e6))
}

fn decimal(text: &str) -> Option<f64> {
    let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|_| plain)
}

fn micros(us: f64) -> Option<Micros> {
    (us.is_finite() && (0.0..9e15).contains(&us)).then_some(us.round() as Micros)
}
