//! Where a role tells its figures: a port and a path, as the deploy file names them.

use std::str::FromStr;

/// Port and path of the figures, from `PORT/PATH`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsAddress {
    /// Port on the machine's address.
    pub port: u16,
    /// Path, with a slash at its beginning.
    pub path: String,
}

/// A text is no `PORT/PATH`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no PORT/PATH, as in 9464/metrics")]
pub struct MetricsAddressError(String);

impl FromStr for MetricsAddress {
    type Err = MetricsAddressError;

    fn from_str(text: &str) -> Result<MetricsAddress, MetricsAddressError> {
        let invalid = || MetricsAddressError(text.to_owned());
        let (port, path) = text.split_once('/').ok_or_else(invalid)?;
        let port = port.parse().map_err(|_| invalid())?;
        Ok(MetricsAddress { port, path: format!("/{path}") })
    }
}
