//! The endpoint list as discovery sends it.

use quillmount_policy::EndpointState;
use std::net::SocketAddr;

/// One line of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListing {
    /// The endpoint's id in discovery.
    pub id: String,
    /// The endpoint's address; absent only if the endpoint is gone.
    pub addr: Option<SocketAddr>,
    /// The id of the destination that the endpoint belongs to.
    pub dest: u64,
    /// The name of the endpoint's kind in the settings.
    pub kind: String,
    /// The name of the endpoint's zone.
    pub zone: String,
    /// The endpoint's weight among the endpoints of the destination.
    pub weight: f64,
    /// The endpoint's state according to discovery.
    pub state: EndpointState,
}

/// A complete list of endpoints, or the changes since an earlier list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version of the list, assigned by discovery.
    pub version: u64,
    /// The list is complete, so that endpoints that it lacks are gone.
    pub full: bool,
    /// The endpoints that are listed or have changed.
    pub endpoints: Vec<EndpointListing>,
}
