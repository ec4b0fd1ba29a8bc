//! How many file descriptors a courier needs for its fleet; they are reserved beside those of clients and endpoints.

use super::listener;
use quillmount_operator::fleet::Fleet as FleetSettings;

/// Descriptors for each peer: a connection to it, one that was given up, and those accepted from it.
const SOCKETS_PER_PEER: usize = 2 + listener::CONNECTIONS_PER_PEER;
/// Descriptors for the agreed state's files, the listener and spare connections. Each replica of a journal has one more.
const BASE_SOCKETS: usize = 8 + listener::SPARE_CONNECTIONS;

/// Descriptors that a courier needs for its fleet.
pub fn sockets(settings: &FleetSettings) -> usize {
    if !settings.on {
        return 0;
    }
    let by_peer = settings.copies.saturating_add(SOCKETS_PER_PEER);
    settings.members.len().saturating_mul(by_peer).saturating_add(BASE_SOCKETS)
}
