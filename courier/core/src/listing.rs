//! The endpoint list as discovery sends it.

use quillmount_policy::EndpointState;
use std::net::SocketAddr;

/// One line of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListing {
    /// The endpoint's id.
    pub id: String,
    /// Its address; absent only if it is gone.
    pub addr: Option<SocketAddr>,
    /// The destination that it belongs to.
    pub dest: u64,
    /// The name of its kind.
    pub kind: String,
    /// The name of its zone.
    pub zone: String,
    /// Its weight among the endpoints of the destination.
    pub weight: f64,
    /// Its state.
    pub state: EndpointState,
}

/// A list of endpoints, or the changes since an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// The list is complete: endpoints that it lacks are gone.
    pub full: bool,
    /// The endpoints that are listed or have changed.
    pub endpoints: Vec<EndpointListing>,
}
