//! Sends notifications and calls to other processes.

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

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// It was not sent, so it has no effect.
    #[error("the call was not sent")]
    NotSent,
    /// The peer may have received it.
    #[error("the call has no response")]
    Lost,
}

/// The links of this process to others, by address.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<String, PeerLink>>,
    /// Number of the last call.
    last_call: Cell<u64>,
    traffic: Rc<PeerTraffic>,
}

impl PeerLinks {
    /// Bytes exchanged over these links, and by those who count with them.
    pub fn traffic(&self) -> &Rc<PeerTraffic> {
        &self.traffic
    }

    /// Sends a message without a response. It is lost if the peer can't be reached.
    pub fn notify(&self, address: &str, request: &Request) {
        let bytes = encode(FrameKind::Notification, 0, &request.encode());
        let _ = self.link(address).send(bytes, None);
    }

    /// Sends a request and waits for the response, at most for `time_limit`.
    pub async fn call(
        &self,
        address: &str,
        request: &Request,
        time_limit: Duration,
    ) -> Result<Response, CallError> {
        let number = self.last_call.get() + 1;
        self.last_call.set(number);
        let link = self.link(address);
        let (response, receiver) = oneshot::channel();
        let bytes = encode(FrameKind::Request, number, &request.encode());
        let sent_at = clock::now();
        link.send(bytes, Some(PendingCall { number, response })).map_err(|_| CallError::NotSent)?;
        match tokio::time::timeout(time_limit, receiver).await {
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
