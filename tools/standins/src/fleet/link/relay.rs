//! Accepts the connections of a link, and connects each to the target.

use super::pump::Pump;
use super::state::{ConnectionState, LinkState};
use crate::fault::{Direction, LinkEventKind};
use crate::gate::{AcceptMode, Gate};
use std::io::Result;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Accepts connections until the link is dropped; each runs in a task of its own.
pub(super) async fn accept_connections(
    mut gate: Gate,
    mut accept_mode: watch::Receiver<AcceptMode>,
    shared: Rc<LinkState>,
) -> Result<()> {
    loop {
        tokio::select! {
            biased;
            changed = accept_mode.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                let accept_mode = *accept_mode.borrow_and_update();
                gate.set(accept_mode)?;
            }
            stream = gate.accept() => {
                let Ok(stream) = stream else { continue };
                let number = shared.next_connection();
                shared.record_event(number, LinkEventKind::ConnectionOpened);
                let close = shared.close.subscribe();
                spawn_local(run_connection(stream, number, shared.clone(), close));
            }
        }
    }
}

/// Relays a connection until it ends, or until the link closes its connections.
async fn run_connection(
    client: TcpStream,
    number: u64,
    shared: Rc<LinkState>,
    mut close: watch::Receiver<u64>,
) {
    tokio::select! {
        biased;
        _ = close.changed() => {}
        // An error ends the connection, which is recorded below.
        _ = relay(client, number, &shared) => {}
    }
    shared.record_event(number, LinkEventKind::ConnectionClosed);
}

async fn relay(client: TcpStream, number: u64, shared: &Rc<LinkState>) -> Result<()> {
    let server = match TcpStream::connect(shared.target).await {
        Ok(server) => server,
        Err(error) => {
            // Nobody listens at the target. The connection is established already, so a reset takes the place of a refusal.
            client.set_zero_linger()?;
            return Err(error);
        }
    };
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let state = Rc::new(ConnectionState::new(number, shared.clone()));
    let requests = Pump::new(Direction::Requests, state.clone(), from_client, to_server).run();
    let answers = Pump::new(Direction::Answers, state, from_server, to_client).run();
    tokio::try_join!(requests, answers).map(drop)
}
