//! Sends messages to one other courier: HTTP/1.1 by awc, one request at a time, in order. A message that can't be delivered is
//! dropped, as the state machines repeat what they need.

use quillmount_fleet::NodeId;
use quillmount_fleet::config::Name;
use quillmount_fleet::message::{Envelope, FleetMessage, MAX_ENVELOPE_BYTES};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The path at which couriers receive each other's messages.
pub const PATH: &str = "/fleet/1";
/// A courier that is up answers in milliseconds; messages to one that is cut off soon go stale.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait after a failed request.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes queued for one courier at most: two envelopes. Messages beyond are dropped.
const MAX_QUEUED_BYTES: usize = 2 * MAX_ENVELOPE_BYTES;
/// Bytes around a message in an envelope, at most.
const MESSAGE_OVERHEAD: usize = 256;

/// Messages for one courier that are not sent yet, each with its size in bytes.
#[derive(Default)]
struct Outbox {
    messages: Vec<(FleetMessage, usize)>,
    bytes: usize,
}

/// The link to one courier.
pub struct PeerLink {
    to: Name,
    outbox: RefCell<Outbox>,
    message_added: Notify,
}

fn encoded_size(message: &FleetMessage) -> usize {
    MESSAGE_OVERHEAD
        + match message {
            FleetMessage::Agreement(bytes) => bytes.len(),
            FleetMessage::Append { bytes, .. } | FleetMessage::Page { bytes, .. } => bytes.len(),
            // Beside the message's body, names of up to 256 bytes each.
            FleetMessage::Settlement { payload, .. } => payload.len() + 2_048,
            _ => 0,
        }
}

impl PeerLink {
    pub fn new(to: Name) -> Rc<Self> {
        Rc::new(PeerLink { to, outbox: RefCell::default(), message_added: Notify::new() })
    }

    /// Queues a message for the next request.
    pub fn send(&self, message: FleetMessage) {
        let (size, mut outbox) = (encoded_size(&message), self.outbox.borrow_mut());
        if outbox.bytes + size <= MAX_QUEUED_BYTES {
            outbox.bytes += size;
            outbox.messages.push((message, size));
            self.message_added.notify_one();
        }
    }

    /// Takes as many queued messages as fit into one envelope.
    fn next_batch(&self) -> Vec<FleetMessage> {
        let mut outbox = self.outbox.borrow_mut();
        let mut bytes = 0;
        let fits = outbox.messages.iter().take_while(|(_, size)| {
            bytes += size;
            bytes < MAX_ENVELOPE_BYTES
        });
        let n = fits.count().max(1).min(outbox.messages.len());
        let taken: Vec<_> = outbox.messages.drain(..n).collect();
        outbox.bytes -= taken.iter().map(|(_, size)| size).sum::<usize>();
        taken.into_iter().map(|(message, _)| message).collect()
    }

    /// Sends messages as long as the process runs; replies go to `heard`.
    pub async fn run(
        self: Rc<Self>,
        addr: SocketAddr,
        from: Name,
        node_id: NodeId,
        heard: impl Fn(Envelope),
    ) {
        // Held back, small writes of a burst go together: sent at once, messages of one were refused for want of leave.
        let client = crate::transport::plain_client(REQUEST_TIMEOUT, false);
        let mut is_reachable = true;
        loop {
            let messages = self.next_batch();
            if messages.is_empty() {
                self.message_added.notified().await;
                continue;
            }
            let envelope = Envelope { from: from.clone(), to: self.to.clone(), node_id, messages };
            let post = client
                .post(format!("http://{addr}{PATH}"))
                .timeout(REQUEST_TIMEOUT)
                .send_body(envelope.encode());
            let reply = async {
                let mut answer = post.await.map_err(|e| e.to_string())?;
                let body = answer.body().limit(MAX_ENVELOPE_BYTES).await.map_err(|e| e.to_string())?;
                match answer.status().as_u16() {
                    200 => Envelope::decode(&body).map(Some).map_err(|e| e.to_string()),
                    204 => Ok(None),
                    other => Err(format!("status {other}: {}", String::from_utf8_lossy(&body))),
                }
            };
            let reply = match actix_rt::time::timeout(REQUEST_TIMEOUT, reply).await {
                Ok(reply) => reply,
                Err(_) => Err(format!("no answer within {REQUEST_TIMEOUT:?}")),
            };
            match reply {
                Ok(answer) => {
                    if !std::mem::replace(&mut is_reachable, true) {
                        tracing::info!("fleet: {} at {addr} is reached again", self.to);
                    }
                    answer.into_iter().for_each(&heard);
                }
                Err(e) => {
                    if std::mem::replace(&mut is_reachable, false) {
                        tracing::warn!("fleet: {} at {addr} is not reached: {e}", self.to);
                    }
                    actix_rt::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}
