//! Parses the durations in HTTP headers.

use quillmount_policy::Micros;

pub(crate) const MICROS_PER_MILLI: Micros = 1_000;
const MICROS_PER_SECOND: f64 = 1e6;
/// Upper bound of a duration in microseconds; a value at or above it is rejected as a mistake of the sender.
const MAX_MICROS: f64 = 9e15;

/// Parses an integer or decimal duration with a unit: `480m` is milliseconds, `250u` microseconds.
pub(crate) fn parse_with_unit(text: &str) -> Option<Micros> {
    let text = text.trim();
    let (number, micros_per_unit) = match text.strip_suffix('m') {
        Some(number) => (number, MICROS_PER_MILLI as f64),
        None => (text.strip_suffix('u')?, 1.0),
    };
    to_micros(parse_decimal(number)? * micros_per_unit)
}

/// Parses an integer or decimal number of seconds, as in `Retry-After`.
pub(crate) fn parse_seconds(text: &str) -> Option<Micros> {
    to_micros(parse_decimal(text.trim())? * MICROS_PER_SECOND)
}

/// Parses a number that has only digits and a decimal point. `f64::from_str` alone would also accept signs,
/// exponents, `inf` and `nan`.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if is_decimal { text.parse().ok() } else { None }
}

fn to_micros(micros: f64) -> Option<Micros> {
    (micros.is_finite() && (0.0..MAX_MICROS).contains(&micros)).then_some(micros.round() as Micros)
}
