//! Sends messages to one other courier: HTTP/1.1 by awc, one request at a time, in order. A message that can't be delivered is
//! dropped, as the state machines repeat what they need.

use quillmount_fleet::NodeId;
use quillmount_fleet::config::Name;
use quillmount_fleet::message::{Envelope, EnvelopeError, FleetMessage, MAX_ENVELOPE_BYTES};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The path at which couriers receive each other's messages.
pub const PATH: &str = "/fleet/1";
/// A courier that is up answers in milliseconds; messages to one that can't be reached are soon out of date.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait after a failed request.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes queued for one courier at most: two envelopes. Messages beyond are dropped.
const MAX_QUEUED_BYTES: usize = 2 * MAX_ENVELOPE_BYTES;
/// Bytes around a message in an envelope, at most.
const MESSAGE_OVERHEAD: usize = 256;
/// Bytes of a settlement's message beside its body, at most: it has names of up to 256 bytes each.
const SETTLEMENT_OVERHEAD: usize = 2_048;

/// Why one exchange with a courier failed.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    /// The request was not answered.
    #[error(transparent)]
    Send(#[from] awc::error::SendRequestError),
    /// The answer's body can't be read.
    #[error(transparent)]
    Read(#[from] awc::error::PayloadError),
    /// The answer's body is no envelope.
    #[error(transparent)]
    Decode(#[from] EnvelopeError),
    /// The courier rejected the envelope.
    #[error("status {status}: {text}")]
    Status { status: u16, text: String },
    /// There was no answer in time.
    #[error("no answer within {REQUEST_TIMEOUT:?}")]
    TimedOut,
}

/// A message that is not sent yet.
struct QueuedMessage {
    message: FleetMessage,
    /// Its size in bytes, at most.
    size: usize,
}

/// Messages for one courier that are not sent yet.
#[derive(Default)]
struct Outbox {
    messages: Vec<QueuedMessage>,
    /// The sum of their sizes.
    bytes: usize,
}

/// The link to one courier.
pub struct PeerLink {
    to: Name,
    outbox: RefCell<Outbox>,
    message_added: Notify,
}

/// The links to the other members, by name.
#[derive(Default)]
pub struct PeerLinks(BTreeMap<Name, Rc<PeerLink>>);

impl PeerLinks {
    /// Queues a message for a member; without effect for a name that is no other member's.
    pub fn send(&self, to: &str, message: FleetMessage) {
        if let Some(link) = self.0.get(to) {
            link.send(message);
        }
    }
}

impl FromIterator<Rc<PeerLink>> for PeerLinks {
    fn from_iter<I: IntoIterator<Item = Rc<PeerLink>>>(links: I) -> Self {
        PeerLinks(links.into_iter().map(|link| (link.to.clone(), link)).collect())
    }
}

/// An upper bound of a message's size in an envelope, in bytes.
fn encoded_size(message: &FleetMessage) -> usize {
    MESSAGE_OVERHEAD
        + match message {
            FleetMessage::Agreement(bytes) => bytes.len(),
            FleetMessage::Append { bytes, .. } | FleetMessage::Page { bytes, .. } => bytes.len(),
            FleetMessage::Settlement { payload, .. } => payload.len() + SETTLEMENT_OVERHEAD,
            _ => 0,
        }
}

impl PeerLink {
    /// A link to the member of this name.
    pub fn new(to: Name) -> Rc<Self> {
        Rc::new(PeerLink { to, outbox: RefCell::default(), message_added: Notify::new() })
    }

    /// Queues a message for the next request.
    pub fn send(&self, message: FleetMessage) {
        let (size, mut outbox) = (encoded_size(&message), self.outbox.borrow_mut());
        if outbox.bytes + size <= MAX_QUEUED_BYTES {
            outbox.bytes += size;
            outbox.messages.push(QueuedMessage { message, size });
            self.message_added.notify_one();
        }
    }

    /// Takes as many queued messages as fit into one envelope.
    fn next_batch(&self) -> Vec<FleetMessage> {
        let mut outbox = self.outbox.borrow_mut();
        let mut bytes = 0;
        let fits = outbox.messages.iter().take_while(|queued| {
            bytes += queued.size;
            bytes < MAX_ENVELOPE_BYTES
        });
        let count = fits.count().max(1).min(outbox.messages.len());
        let taken: Vec<_> = outbox.messages.drain(..count).collect();
        outbox.bytes -= taken.iter().map(|queued| queued.size).sum::<usize>();
        taken.into_iter().map(|queued| queued.message).collect()
    }

    /// Sends messages as long as the process runs; replies go to `receive`.
    pub async fn run(
        self: Rc<Self>,
        addr: SocketAddr,
        from: Name,
        node_id: NodeId,
        receive: impl Fn(Envelope),
    ) {
        // Without TCP_NODELAY the small writes of a burst are sent together: sent one by one, messages of a burst were rejected
        // for lack of a permit.
        let client = crate::transport::plain_client(REQUEST_TIMEOUT, false);
        let mut is_reachable = true;
        loop {
            let messages = self.next_batch();
            if messages.is_empty() {
                self.message_added.notified().await;
                continue;
            }
            let envelope = Envelope { from: from.clone(), to: self.to.clone(), node_id, messages };
            let reply = actix_rt::time::timeout(REQUEST_TIMEOUT, exchange(&client, addr, &envelope)).await;
            match reply.unwrap_or(Err(LinkError::TimedOut)) {
                Ok(answer) => {
                    if !std::mem::replace(&mut is_reachable, true) {
                        tracing::info!("fleet: {} at {addr} is reached again", self.to);
                    }
                    answer.into_iter().for_each(&receive);
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

/// Sends an envelope; returns the one that comes back in the same exchange, if one does.
async fn exchange(
    client: &awc::Client,
    addr: SocketAddr,
    envelope: &Envelope,
) -> Result<Option<Envelope>, LinkError> {
    let request = client.post(format!("http://{addr}{PATH}")).timeout(REQUEST_TIMEOUT);
    let mut answer = request.send_body(envelope.encode()).await?;
    let body = answer.body().limit(MAX_ENVELOPE_BYTES).await?;
    match answer.status().as_u16() {
        200 => Ok(Some(Envelope::decode(&body)?)),
        204 => Ok(None),
        status => Err(LinkError::Status { status, text: String::from_utf8_lossy(&body).into_owned() }),
    }
}
