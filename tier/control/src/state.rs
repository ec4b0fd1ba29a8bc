//! The control state: the value that the core replicates.
//!
//! A snapshot of it is the payload of the replicated register, on the wire and on the disks of core members.
//! Its archived form goes by position: neither the order nor the types of the fields may change.

use quillmount_wire::frame::FrameError;
use quillmount_wire::messages::{DiskId, Placement, UsageWindow, decode, encode};
use rkyv::{Archive, Deserialize, Serialize};

/// An order that was applied, as it is remembered to recognize a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct AppliedOrder {
    /// Digest of the order's kind, base version and body.
    pub digest: u128,
    /// Version of the configuration that the order produced.
    pub version: u64,
}

/// The whole state that the core replicates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ControlState {
    /// Version of the configuration in force; 0 before the first. It only rises.
    pub version: u64,
    /// JSON text of the configuration in force; empty before the first.
    pub configuration: String,
    /// Applied orders, oldest first; at most [`APPLIED_ORDERS_LIMIT`](crate::APPLIED_ORDERS_LIMIT).
    pub applied_orders: Vec<AppliedOrder>,
    /// Version produced by the newest order that is no longer in `applied_orders`; 0 while none was dropped.
    /// Whether an order that builds on an older version was applied is unknown.
    pub forgotten_version: u64,
    /// Core members, stores and the views of the shards.
    pub placement: Placement,
    /// Rises with every change of `placement` or `retiring`.
    pub placement_version: u64,
    /// Stores that are being emptied.
    pub retiring: Vec<DiskId>,
    /// Finalized usage reports, ordered by window; a bounded number.
    pub usage: Vec<UsageWindow>,
}

impl ControlState {
    /// Encodes the state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// The bytes are no archived control state.
    pub fn decode(bytes: &[u8]) -> Result<ControlState, FrameError> {
        decode(bytes)
    }

    /// Raises the version of the placement, so that those who poll get it.
    pub(crate) fn placement_changed(&mut self) {
        self.placement_version += 1;
    }
}
