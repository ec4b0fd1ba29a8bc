//! A provider that a whole fleet calls: it records every call and every connection, and answers as a test
//! says, at once or when it is told to.

use crate::fleet::fault::{Fault, InjectedFault};
use crate::http::{BodyRemainder, Head, Reader};
use crate::listener::{CourierListener, ListenerMode};
use crate::record::{BodyDigest, ConnectionChange, RecordedCall, Recorder};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{oneshot, watch};

/// Bytes that are read of a body at once.
const READ: usize = 256 * 1024;

/// What a partner does with a call whose body has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// First line and headers, without the last empty line, as in `200 OK`.
    Line(String),
    /// It waits for [`Partner::release`].
    Pending,
    /// The connection is reset.
    Reset,
    /// It never answers.
    Silent,
}

impl Answer {
    pub fn ok() -> Answer {
        Answer::Line("200 OK".into())
    }

    pub fn failed() -> Answer {
        Answer::Line("500 Internal Server Error".into())
    }

    /// Turned away, to come again after so many seconds, whole or decimal.
    pub fn full(wait: &str) -> Answer {
        Answer::Line(format!("429 Too Many Requests\r\nRetry-After: {wait}"))
    }

    fn status(&self) -> u16 {
        match self {
            Answer::Line(line) => line.get(..3).and_then(|status| status.parse().ok()).unwrap_or(0),
            _ => 0,
        }
    }

    /// What the call does has been done, or may have been: a refusal alone says that it was not.
    fn ran(&self) -> bool {
        !matches!(self.status(), 429 | 503 | 504 | 410)
    }
}

struct PartnerState {
    number: usize,
    recorder: Recorder,
    answers: Box<dyn Fn(&RecordedCall) -> Answer>,
    /// Calls that wait, by their number in the record.
    pending: RefCell<BTreeMap<usize, oneshot::Sender<Answer>>>,
    /// Its connections, and whose they are.
    open: RefCell<BTreeMap<u64, (usize, OwnedFd)>>,
}

/// A partner with a door for each courier.
pub struct Partner {
    pub dest: u64,
    listeners: Vec<CourierListener>,
    shared: Rc<PartnerState>,
}

impl Partner {
    /// Opens the partner with this number, for so many couriers. `answers` is asked when a call's body has
    /// come; a call with several messages is one call without an id. Must run in a `LocalSet`.
    ///
    /// # Errors
    /// No port could be had.
    pub fn open(
        number: usize,
        dest: u64,
        couriers: usize,
        recorder: Recorder,
        answers: impl Fn(&RecordedCall) -> Answer + 'static,
    ) -> Result<Partner> {
        let (pending, open) = (RefCell::default(), RefCell::default());
        let shared = Rc::new(PartnerState { number, recorder, answers: Box::new(answers), pending, open });
        let listener = |courier| {
            let shared = shared.clone();
            CourierListener::open(move |stream, mode| {
                let shared = shared.clone();
                async move {
                    if let Ok(connection) = shared.connection_opened(&stream, courier) {
                        // What broke is told of with the call.
                        let _ = serve(stream, connection, courier, &shared, mode).await;
                        shared.connection_closed(connection);
                    }
                }
            })
        };
        let listeners = (0..couriers).map(listener).collect::<Result<_>>()?;
        Ok(Partner { dest, listeners, shared })
    }

    /// Where this courier reaches it.
    pub fn addr(&self, courier: usize) -> SocketAddr {
        self.listeners[courier].addr()
    }

    /// From now on, for this courier.
    pub fn set(&self, courier: usize, mode: ListenerMode) {
        self.listeners[courier].set(mode);
        let partner = self.shared.number;
        InjectedFault::note(&self.shared.recorder, Fault::Partner { courier, partner, mode });
    }

    pub(crate) fn is_open(&self, courier: usize) -> bool {
        self.listeners[courier].mode() == ListenerMode::Open
    }

    /// Answers all calls of a message that are held so; returns how many there were.
    pub fn release(&self, id: &str, answer: Answer) -> usize {
        self.release_where(answer, |call| call.id == id)
    }

    /// Answers all calls that are held and meant so.
    pub fn release_where(&self, answer: Answer, meant: impl Fn(&RecordedCall) -> bool) -> usize {
        let mut pending = self.shared.pending.borrow_mut();
        let meant = self.shared.recorder.read(|record| {
            let meant = |n: &usize| meant(&record.calls[*n]);
            pending.keys().copied().filter(meant).collect::<Vec<_>>()
        });
        for n in &meant {
            // One that has gone meanwhile needs no answer.
            pending.remove(n).map(|to| to.send(answer.clone()));
        }
        meant.len()
    }
}

impl PartnerState {
    /// A connection came: those that the other side has closed before are counted out first, so that the
    /// count is never more than what is open, in whatever order the two are heard of here.
    fn connection_opened(&self, stream: &TcpStream, courier: usize) -> Result<u64> {
        let gone: Vec<u64> = {
            let open = self.open.borrow();
            open.iter().filter(|(_, (_, fd))| hung_up(fd)).map(|(number, _)| *number).collect()
        };
        gone.into_iter().for_each(|number| self.connection_closed(number));
        let fd = stream.as_fd().try_clone_to_owned()?;
        let partner = self.number;
        Ok(self.recorder.write(|record, when| {
            let connection = record.connections;
            record.connections += 1;
            let mut all = self.open.borrow_mut();
            all.insert(connection, (courier, fd));
            let open = all.len();
            record.connection_changes.push(ConnectionChange {
                when,
                partner,
                connection,
                courier,
                opened: true,
                open,
            });
            connection
        }))
    }

    fn connection_closed(&self, connection: u64) {
        let Some((courier, _)) = self.open.borrow_mut().remove(&connection) else { return };
        let (partner, open) = (self.number, self.open.borrow().len());
        self.recorder.write(|record, when| {
            record.connection_changes.push(ConnectionChange {
                when,
                partner,
                connection,
                courier,
                opened: false,
                open,
            });
        });
    }

    /// The other side has closed this connection.
    fn is_gone(&self, connection: u64) -> bool {
        self.open.borrow().get(&connection).is_none_or(|(_, fd)| hung_up(fd))
    }

    fn note(&self, call: usize, note: impl FnOnce(&mut RecordedCall, crate::record::Stamp)) {
        self.recorder.write(|record, when| note(&mut record.calls[call], when));
    }
}

fn hung_up(fd: &OwnedFd) -> bool {
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut fds = [PollFd::new(fd, ends)];
    let result = poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
    result.is_ok_and(|n| n > 0) && fds[0].revents().intersects(ends)
}

async fn serve(
    stream: TcpStream,
    connection: u64,
    courier: usize,
    shared: &PartnerState,
    mode: watch::Receiver<ListenerMode>,
) -> Result<()> {
    let (from, mut to) = stream.into_split();
    let mut reader = Reader::new(from);
    while let Some(head) = reader.head().await? {
        if !call(head, &mut reader, &mut to, connection, courier, shared, &mode).await? {
            break;
        }
    }
    Ok(())
}

/// One call; false: the connection is to end.
async fn call(
    head: Head,
    reader: &mut Reader<OwnedReadHalf>,
    to: &mut OwnedWriteHalf,
    connection: u64,
    courier: usize,
    shared: &PartnerState,
    mode: &watch::Receiver<ListenerMode>,
) -> Result<bool> {
    let text = |name| head.header(name).map(str::to_string);
    let (id, key, tenant) =
        (text("x-correlation-id").unwrap_or_default(), text("idempotency-key"), text("x-account"));
    if head.header("expect").is_some() {
        to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut left = BodyRemainder::from(head.framing());
    let n = shared.recorder.write(|record, began| {
        record.call(RecordedCall {
            began,
            partner: shared.number,
            courier,
            connection,
            id,
            key,
            tenant,
            head,
            body: BodyDigest::default(),
            whole: None,
            ran: false,
            answered: None,
            unheard: false,
            abandoned: None,
        })
    });
    let abandoned = |call: &mut RecordedCall, when| call.abandoned = Some(when);
    let (mut crc, mut bytes) = (crc32fast::Hasher::new(), 0);
    loop {
        match reader.body(&mut left, READ).await {
            Ok(Some(part)) => {
                bytes += part.len() as u64;
                crc.update(&part);
            }
            Ok(None) => break,
            Err(_) => {
                shared.note(n, |call, when| {
                    call.body = BodyDigest { bytes, crc: crc.finalize() };
                    abandoned(call, when);
                });
                return Ok(false);
            }
        }
    }
    shared.note(n, |call, when| {
        (call.body, call.whole, call.ran) = (BodyDigest { bytes, crc: crc.finalize() }, Some(when), true);
    });
    let mut answer = shared.recorder.read(|record| (shared.answers)(&record.calls[n]));
    if answer == Answer::Pending {
        let (release, released) = oneshot::channel();
        shared.pending.borrow_mut().insert(n, release);
        tokio::select! {
            biased;
            result = released => answer = result.unwrap_or(Answer::Silent),
            // Nothing more comes before the answer but the end.
            _ = reader.head() => {
                shared.pending.borrow_mut().remove(&n);
                shared.note(n, abandoned);
                return Ok(false);
            }
        }
    }
    let (status, ran) = (answer.status(), answer.ran());
    let line = match answer {
        Answer::Line(line) => line,
        Answer::Reset => {
            let _ = to.as_ref().set_zero_linger();
            shared.note(n, abandoned);
            return Ok(false);
        }
        Answer::Pending | Answer::Silent => {
            let _ = reader.head().await;
            shared.note(n, abandoned);
            return Ok(false);
        }
    };
    if shared.is_gone(connection) {
        shared.note(n, |call, when| {
            call.ran = ran;
            abandoned(call, when);
        });
        return Ok(false);
    }
    let unheard = *mode.borrow() == ListenerMode::AnswersLost;
    // Noted first: what the answer brings about is seen behind it.
    shared
        .note(n, |call, when| (call.ran, call.answered, call.unheard) = (ran, Some((when, status)), unheard));
    if !unheard {
        to.write_all(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
    }
    Ok(true)
}
