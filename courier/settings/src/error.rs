//! Why settings, times and states of endpoints can't be decoded. Each text names the setting or field that is wrong.

/// A number is no time.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TimeError {
    /// The number is infinite, not a number, or larger than any time that is meant.
    #[error("{field}: {millis} is not a time")]
    OutOfRange {
        /// The setting, or the field of a message.
        field: &'static str,
        /// The number, milliseconds.
        millis: f64,
    },
}

/// The settings object can't be translated to the settings of the decision module.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsDecodeError {
    /// A setting is no time.
    #[error(transparent)]
    Time(#[from] TimeError),
    /// The effect of a message class has an unknown name.
    #[error("effect: {0:?} is not known")]
    UnknownEffect(String),
}

/// A state of an endpoint is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointStateError {
    /// No state has this code.
    #[error("state: no state has the code {0}")]
    UnknownCode(u8),
    /// No state has this name.
    #[error("state: {0:?} is not known")]
    UnknownName(String),
}
