//! Times in headers.

use quillmount_policy::Micros;

/// Microseconds in a millisecond.
pub(crate) const MICROS_PER_MILLI: Micros = 1_000;
const MICROS_PER_SECOND: f64 = 1e6;
/// Longer times are taken for mistakes, microseconds.
const MAX_MICROS: f64 = 9e15;

/// A time with a unit: `480m` milliseconds, `250u` microseconds; whole or decimal.
pub(crate) fn parse_with_unit(text: &str) -> Option<Micros> {
    let text = text.trim();
    let (number, micros_per_unit) = match text.strip_suffix('m') {
        Some(number) => (number, MICROS_PER_MILLI as f64),
        None => (text.strip_suffix('u')?, 1.0),
    };
    to_micros(parse_decimal(number)? * micros_per_unit)
}

/// Seconds, whole or decimal, as in `Retry-After`.
pub(crate) fn parse_seconds(text: &str) -> Option<Micros> {
    to_micros(parse_decimal(text.trim())? * MICROS_PER_SECOND)
}

/// A number of digits and a point; `f64` alone would also take signs, exponents and names.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if is_decimal { text.parse().ok() } else { None }
}

fn to_micros(micros: f64) -> Option<Micros> {
    (micros.is_finite() && (0.0..MAX_MICROS).contains(&micros)).then_some(micros.round() as Micros)
}
