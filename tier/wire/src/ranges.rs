//! Ranges of the numbers that people and other systems state. They are checked where a number comes in, so that arithmetic on
//! what was accepted can't overflow: a span is added to a moment, counts and tokens are summed.

/// Longest span of time, seconds: ten years.
const LONGEST_SPAN_S: f64 = 10.0 * 365.0 * 86_400.0;

/// Longest span of time, milliseconds: ten years.
pub const LONGEST_SPAN_MS: f64 = LONGEST_SPAN_S * 1000.0;
/// A span of time in milliseconds.
pub const SPAN_MS: NumberRange = NumberRange { least: 0.0, largest: LONGEST_SPAN_MS };
/// A span of time in seconds.
pub const SPAN_S: NumberRange = NumberRange { least: 0.0, largest: LONGEST_SPAN_S };
/// A number of things, such as connections, slots or endpoints.
pub const COUNT: NumberRange = NumberRange { least: 0.0, largest: 4_294_967_295.0 };
/// A number of tokens, or a weight: each whole number up to the limit has a floating-point number of its own (2^53).
pub const QUANTITY: NumberRange = NumberRange { least: 0.0, largest: 9_007_199_254_740_992.0 };
/// Tokens of one item of a batch job.
pub const ITEM_TOKENS: NumberRange = NumberRange { least: 0.0, largest: 4_294_967_295.0 };

/// The numbers that a field may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NumberRange {
    least: f64,
    largest: f64,
}

/// A field has a number outside its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {value} is not between {least} and {largest}")]
pub struct OutOfRange {
    /// The field, with the path to it.
    pub field: String,
    /// What it has.
    pub value: String,
    /// The smallest number that it may have.
    pub least: String,
    /// The largest number that it may have.
    pub largest: String,
}

impl NumberRange {
    /// Checks a number; `field` names it in the error.
    ///
    /// # Errors
    /// The number is outside the range, or is none (NaN).
    pub fn check(self, field: &str, value: f64) -> Result<(), OutOfRange> {
        if (self.least..=self.largest).contains(&value) {
            return Ok(());
        }
        Err(OutOfRange {
            field: field.to_owned(),
            value: value.to_string(),
            least: self.least.to_string(),
            largest: self.largest.to_string(),
        })
    }

    /// As [`NumberRange::check`], where a field may be missing.
    ///
    /// # Errors
    /// As [`NumberRange::check`].
    pub fn check_optional(self, field: &str, value: Option<f64>) -> Result<(), OutOfRange> {
        value.map_or(Ok(()), |value| self.check(field, value))
    }
}
