//! The courier under exploration: its own router and hub, opened on a store in memory.

use crate::case::Case;
use quillmount_core::EndpointList;
use quillmount_core::hub::Hub;
use quillmount_core::pool::Pool;
use quillmount_core::router::{Router, RouterAction, RouterError, RouterOptions, StreamLimits};
use quillmount_core::store::Memory;
use quillmount_policy::Micros;

/// Capacity of the disk in bytes, which no path fills.
const DISK_BYTES: u64 = 3_000_000;
/// Time after which endpoints close an idle connection; `keepalive_ms` of the settings, in microseconds.
const KEEPALIVE: Micros = 15_000_000;
/// Connections at most, more than any case needs.
const CONNECTIONS_MAX: usize = 100;

/// The courier of a case can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The settings of the case can't be decoded.
    #[error(transparent)]
    Settings(#[from] serde_json::Error),
    /// The router rejects the settings, or can't read the store.
    #[error(transparent)]
    Router(#[from] RouterError),
}

/// A courier that has just been opened.
pub(crate) struct OpenedCourier {
    pub(crate) hub: Hub<Memory, u32>,
    /// What its router requests first, for [`Hub::carry_out`].
    pub(crate) actions: Vec<RouterAction>,
}

/// Opens the courier of a case on what the store contains, with the endpoint list that it has known.
///
/// # Errors
/// The settings can't be decoded, the router rejects them, or it can't read the store.
pub(crate) fn open(
    case: &Case,
    streams: Option<StreamLimits>,
    known: EndpointList,
    store: Memory,
    now: Micros,
) -> Result<OpenedCourier, OpenError> {
    let settings = case.settings()?;
    let options = RouterOptions { settings: &settings, streams, seed: case.seed, journal_limit: DISK_BYTES };
    let (router, actions) = Router::open(&options, known, store, now)?;
    let hub = Hub::new(router, Pool::new(KEEPALIVE, CONNECTIONS_MAX));
    Ok(OpenedCourier { hub, actions })
}
