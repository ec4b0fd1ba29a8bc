//! Sends calls and notifications to other processes.

use super::link::{PeerLink, PendingCall};
use super::traffic::PeerTraffic;
use crate::clock;
use quillmount_wire::frame::{FrameKind, encode};
use quillmount_wire::messages::{Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Reasons why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call was not sent and has no effect.
    #[error("the call was not sent, because too many frames are queued for the peer")]
    NotSent,
    /// The call may have been received by the peer.
    #[error("the call has no response: the connection failed or the call timed out")]
    Lost,
}

/// Links of this process to other processes, by address.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<String, PeerLink>>,
    /// Number of the last call.
    last_call_number: Cell<u64>,
    traffic: Rc<PeerTraffic>,
}

impl PeerLinks {
    /// Counters of the bytes exchanged over these links. The RPC server of the process counts its bytes in them too.
    pub fn traffic(&self) -> &Rc<PeerTraffic> {
        &self.traffic
    }

    /// Sends a message that has no response. The message is lost if the peer can't be reached.
    pub fn notify(&self, address: &str, request: &Request) {
        let bytes = encode(FrameKind::Notification, 0, &request.encode());
        let _ = self.link(address).send(bytes, None);
    }

    /// Sends a request and waits for the response until the timeout.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if the queue of the link is full, [`CallError::Lost`] if the connection fails or the call times out.
    pub async fn call(
        &self,
        address: &str,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let number = self.last_call_number.get() + 1;
        self.last_call_number.set(number);
        let link = self.link(address);
        let (response, receiver) = oneshot::channel();
        let bytes = encode(FrameKind::Request, number, &request.encode());
        let sent_at = clock::now();
        link.send(bytes, Some(PendingCall { number, response })).map_err(|_| CallError::NotSent)?;
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(CallError::Lost),
            Err(_) => {
                link.abandon(number, sent_at);
                Err(CallError::Lost)
            }
        }
    }

    fn link(&self, address: &str) -> PeerLink {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(address) {
            return link.clone();
        }
        let link = PeerLink::open(address, &self.traffic);
        links.insert(address.to_owned(), link.clone());
        link
    }
}
