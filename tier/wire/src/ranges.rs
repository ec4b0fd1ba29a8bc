//! Valid ranges of numbers in input from operators, clients and other systems. Each number is checked when it is read, so that
//! later arithmetic on it can't overflow: durations are added to points in time, counts and tokens are summed.

/// Longest accepted duration, seconds: ten years.
const MAX_DURATION_S: f64 = 10.0 * 365.0 * 86_400.0;

/// Longest accepted duration, milliseconds: ten years.
pub const MAX_DURATION_MS: f64 = MAX_DURATION_S * 1000.0;
/// Range of a duration in milliseconds.
pub const DURATION_MS: NumberRange = NumberRange { min: 0.0, max: MAX_DURATION_MS };
/// Range of a duration in seconds.
pub const DURATION_S: NumberRange = NumberRange { min: 0.0, max: MAX_DURATION_S };
/// Range of a count, such as of connections, slots or endpoints.
pub const COUNT: NumberRange = NumberRange { min: 0.0, max: 4_294_967_295.0 };
/// Range of a number of tokens or of a weight. Up to the limit, 2^53, a floating-point number represents every integer exactly.
pub const QUANTITY: NumberRange = NumberRange { min: 0.0, max: 9_007_199_254_740_992.0 };
/// Range of the tokens of one item of a batch job.
pub const ITEM_TOKENS: NumberRange = NumberRange { min: 0.0, max: 4_294_967_295.0 };

/// Inclusive range of the numbers that a field accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NumberRange {
    min: f64,
    max: f64,
}

/// Error: the number in a field is outside its range. The message is part of responses to operators and clients.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {value} is not between {min} and {max}")]
pub struct OutOfRange {
    /// Path of the field.
    pub field: String,
    /// Number in the field.
    pub value: String,
    /// Smallest number that the field accepts.
    pub min: String,
    /// Largest number that the field accepts.
    pub max: String,
}

impl NumberRange {
    /// Checks that a number is within the range; `field` is the path of the field for the error.
    ///
    /// # Errors
    /// [`OutOfRange`] if the number is outside the range or is NaN.
    pub fn check(self, field: &str, value: f64) -> Result<(), OutOfRange> {
        if (self.min..=self.max).contains(&value) {
            return Ok(());
        }
        Err(OutOfRange {
            field: field.to_owned(),
            value: value.to_string(),
            min: self.min.to_string(),
            max: self.max.to_string(),
        })
    }

    /// Like [`NumberRange::check`], for an optional field; a missing number is valid.
    ///
    /// # Errors
    /// The same as of [`NumberRange::check`].
    pub fn check_optional(self, field: &str, value: Option<f64>) -> Result<(), OutOfRange> {
        value.map_or(Ok(()), |value| self.check(field, value))
    }
}
