//! The control state: the value that the core replicates.
//!
//! A snapshot of it is the payload of the replicated register, on the wire and on the disks of core members. The archived
//! form identifies fields by position, so neither their order nor their types may change.

use quillmount_wire::frame::FrameError;
use quillmount_wire::messages::{DiskId, Placement, UsageWindow, decode, encode};
use rkyv::{Archive, Deserialize, Serialize};

/// Record of an applied order, retained to recognize a retry.
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
    /// Version of the configuration in force; 0 before the first. It only increases.
    pub version: u64,
    /// JSON text of the configuration in force; empty before the first.
    pub configuration: String,
    /// Applied orders, oldest first; at most [`APPLIED_ORDERS_LIMIT`](crate::APPLIED_ORDERS_LIMIT).
    pub applied_orders: Vec<AppliedOrder>,
    /// Version produced by the newest order that was dropped from `applied_orders`; 0 if none was dropped. It is
    /// unknown whether an order that builds on a version older than this one was applied.
    pub forgotten_version: u64,
    /// Core members, stores and the views of the shards.
    pub placement: Placement,
    /// Incremented with every change of `placement` or `retiring`.
    pub placement_version: u64,
    /// Retiring stores, whose replicas are moved to other stores.
    pub retiring: Vec<DiskId>,
    /// The newest finalized usage reports, ordered by window; at most 64.
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
    /// [`FrameError`] if the bytes are not an archived control state.
    pub fn decode(bytes: &[u8]) -> Result<ControlState, FrameError> {
        decode(bytes)
    }

    /// Increments the version of the placement, so that subscribers get the new placement.
    pub(crate) fn placement_changed(&mut self) {
        self.placement_version += 1;
    }
}
