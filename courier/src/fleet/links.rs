//! The way to one other courier: HTTP/1.1 by awc, one request at a time, in order. What does not get there is let go, as the
//! machines say again what they want.

use quillmount_fleet::Token;
use quillmount_fleet::message::{ENVELOPE_MOST, Envelope, Message};
use quillmount_fleet::plan::Name;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Where couriers hear each other.
pub const PATH: &str = "/fleet/1";
/// A courier that is there answers in milliseconds; while one is cut off, what waits for it grows old.
const TRY: Duration = Duration::from_millis(500);
/// Between two tries at one that can't be reached.
const REST: Duration = Duration::from_millis(50);
/// Bytes that wait for one courier at most: two envelopes. What is beyond is let go.
const WAIT_MOST: usize = 2 * ENVELOPE_MOST;
/// Bytes around a message in an envelope, at most.
const FRAME: usize = 256;

/// Messages for one courier that are not on their way yet.
#[derive(Default)]
struct Waiting {
    messages: Vec<(Message, usize)>,
    bytes: usize,
}

/// The way to one courier.
pub struct Link {
    to: Name,
    waiting: RefCell<Waiting>,
    more: Notify,
}

fn size(message: &Message) -> usize {
    FRAME
        + match message {
            Message::Agree(bytes) => bytes.len(),
            Message::Append { bytes, .. } | Message::Page { bytes, .. } => bytes.len(),
            // Beside the message's body, names of up to 256 bytes each.
            Message::Settlement { parcel, .. } => parcel.len() + 2_048,
            _ => 0,
        }
}

impl Link {
    pub fn new(to: Name) -> Rc<Self> {
        Rc::new(Link { to, waiting: RefCell::default(), more: Notify::new() })
    }

    /// Sends it with the next request.
    pub fn send(&self, message: Message) {
        let (size, mut waiting) = (size(&message), self.waiting.borrow_mut());
        if waiting.bytes + size <= WAIT_MOST {
            waiting.bytes += size;
            waiting.messages.push((message, size));
            self.more.notify_one();
        }
    }

    /// What fits into one envelope.
    fn take(&self) -> Vec<Message> {
        let mut waiting = self.waiting.borrow_mut();
        let mut bytes = 0;
        let fits = waiting.messages.iter().take_while(|(_, size)| {
            bytes += size;
            bytes < ENVELOPE_MOST
        });
        let n = fits.count().max(1).min(waiting.messages.len());
        let taken: Vec<_> = waiting.messages.drain(..n).collect();
        waiting.bytes -= taken.iter().map(|(_, size)| size).sum::<usize>();
        taken.into_iter().map(|(message, _)| message).collect()
    }

    /// Carries messages for as long as the process lives; what the other says at once is handed to `heard`.
    pub async fn carry(self: Rc<Self>, addr: SocketAddr, from: Name, token: Token, heard: impl Fn(Envelope)) {
        // Held back, small writes of a burst go together: sent at once, messages of one were refused for want of leave.
        let client = crate::transport::plain_client(TRY, false);
        let mut up = true;
        loop {
            let messages = self.take();
            if messages.is_empty() {
                self.more.notified().await;
                continue;
            }
            let envelope = Envelope { from: from.clone(), to: self.to.clone(), token, messages };
            let post = client.post(format!("http://{addr}{PATH}")).timeout(TRY).send_body(envelope.encode());
            let told = async {
                let mut answer = post.await.map_err(|e| e.to_string())?;
                let body = answer.body().limit(ENVELOPE_MOST).await.map_err(|e| e.to_string())?;
                match answer.status().as_u16() {
                    200 => Envelope::decode(&body).map(Some).map_err(|e| e.to_string()),
                    204 => Ok(None),
                    other => Err(format!("status {other}: {}", String::from_utf8_lossy(&body))),
                }
            };
            let told = match actix_rt::time::timeout(TRY, told).await {
                Ok(told) => told,
                Err(_) => Err(format!("no answer within {TRY:?}")),
            };
            match told {
                Ok(answer) => {
                    if !std::mem::replace(&mut up, true) {
                        tracing::info!("fleet: {} at {addr} is reached again", self.to);
                    }
                    answer.into_iter().for_each(&heard);
                }
                Err(e) => {
                    if std::mem::replace(&mut up, false) {
                        tracing::warn!("fleet: {} at {addr} is not reached: {e}", self.to);
                    }
                    actix_rt::time::sleep(REST).await;
                }
            }
        }
    }
}
