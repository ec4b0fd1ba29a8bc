//! States of the endpoint list, by their codes on the simulator's wire and their names in the discovery service's lists.

use crate::error::EndpointStateError;
use quillmount_policy::EndpointState;

/// A state of the endpoint list by its code on the simulator's wire.
///
/// # Errors
/// No state has the code.
pub fn endpoint_state_from_code(code: u8) -> Result<EndpointState, EndpointStateError> {
    match code {
        0 => Ok(EndpointState::Gone),
        1 => Ok(EndpointState::Ready),
        2 => Ok(EndpointState::Draining),
        other => Err(EndpointStateError::UnknownCode(other)),
    }
}

/// A state of the endpoint list by its name in the answers of the discovery service.
///
/// # Errors
/// No state has the name.
pub fn endpoint_state_from_name(name: &str) -> Result<EndpointState, EndpointStateError> {
    match name {
        "gone" => Ok(EndpointState::Gone),
        "ready" => Ok(EndpointState::Ready),
        "draining" => Ok(EndpointState::Draining),
        other => Err(EndpointStateError::UnknownName(other.to_owned())),
    }
}
