//! Errors for which a configuration or a patch of it is rejected.

use super::MAX_CONFIGURATION_BYTES;
use crate::ranges::OutOfRange;

/// Reasons why a configuration is rejected. The messages are sent to operators in responses.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The text is not JSON, or a field is missing or has another type; contains the details.
    #[error("the configuration can't be read: {0}")]
    Unreadable(String),
    /// The text is larger than [`MAX_CONFIGURATION_BYTES`].
    #[error("the configuration has {bytes} bytes, the limit is {MAX_CONFIGURATION_BYTES}")]
    TooLarge {
        /// Size of the text, bytes.
        bytes: usize,
    },
    /// A route refers to an undefined service.
    #[error("Routes[{route}]: there is no service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes match the same requests.
    #[error("Routes[{first}] and Routes[{second}] have the same host and prefix")]
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// Two items of one list have the same name.
    #[error("{kind}[{name}] is there twice")]
    DuplicateName {
        /// Name of the list.
        kind: &'static str,
        /// Name of the items.
        name: String,
    },
    /// A number is outside the range of its field.
    #[error(transparent)]
    OutOfRange(#[from] OutOfRange),
    /// The weights of a route's services sum to 0.
    #[error("Routes[{route}].Shares: the weights sum to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The deadline of a route is 0.
    #[error("Routes[{route}].DeadlineMs is 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two tenants have the same key.
    #[error("Accounts[{first}] and Accounts[{second}] share a key")]
    SharedKey {
        /// Name of the earlier tenant.
        first: String,
        /// Name of the later tenant.
        second: String,
    },
    /// The version is not above that of the configuration in force.
    #[error("Gen: {version} is not above the current {current}")]
    NotNewer {
        /// Version of the rejected configuration.
        version: u64,
        /// Version of the configuration in force.
        current: u64,
    },
}

impl ConfigurationError {
    /// Creates [`ConfigurationError::Unreadable`] with these details.
    pub(super) fn unreadable(detail: &str) -> ConfigurationError {
        ConfigurationError::Unreadable(detail.to_owned())
    }
}
