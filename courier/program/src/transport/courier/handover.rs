//! The courier's part of a handover: its calls and connections are released to the next process, or resumed from the last one.

use super::Courier;
use crate::transport::connection::EndpointStream;
use crate::transport::handle::{HandoverPart, ReleasedPart};
use actix_rt::net::TcpStream;
use quillmount_core::hub;
use quillmount_core::pool::{DetachedConnection, EndpointBackoff, Pool};
use quillmount_core::router::RouterAction;
use quillmount_policy::Micros;
use std::net::SocketAddr;
use std::rc::Rc;

impl Courier {
    /// Asks all calls to prepare for a handover; streams end as at a planned stop.
    pub fn release(self: &Rc<Self>) {
        self.end_streams();
        self.signals.borrow().values().for_each(|signals| signals.release());
    }

    /// Calls that are not released for the handover yet.
    pub fn handover_pending(&self) -> usize {
        self.signals.borrow().len()
    }

    /// All state, and all parts, for a handover; nothing may be decided after it. `settings`: the fingerprint of the settings.
    pub fn freeze(&self, settings: u32) -> (hub::HubState, Vec<ReleasedPart<TcpStream>>) {
        let mut parts = self.handle.take_parts();
        let idle = self.handle.pool(Pool::take_all_idle);
        parts.extend(idle.into_iter().map(|idle| {
            let DetachedConnection { endpoint, addr, idle_since: since, connection } = idle;
            ReleasedPart {
                part: HandoverPart::IdleConnection { endpoint, addr, since },
                socket: connection.into_stream(),
            }
        }));
        (self.handle.hub.borrow().state(settings), parts)
    }

    /// Adds an idle connection of another process to the pool.
    pub fn add_idle(&self, endpoint: u32, addr: SocketAddr, since: Micros, stream: TcpStream) {
        drop(self.handle.pool(|pool| pool.add_idle(endpoint, addr, since, EndpointStream::Plain(stream))));
    }

    /// Carries out the first actions of a state that another process had.
    pub fn resume(self: &Rc<Self>, backoffs: &[EndpointBackoff], first: Vec<RouterAction>) {
        let actions = self.handle.hub.borrow_mut().resume(backoffs, first, self.clock.now());
        self.carry_out(actions);
    }
}
