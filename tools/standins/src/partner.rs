//! A partner that a whole fleet of couriers calls: it records every call and every connection, and answers as the script of
//! the test has it, at once or when it is released.

use crate::fleet::fault::Fault;
use crate::http::{BodyRemainder, Head, Reader};
use crate::listener::{CourierListener, ListenerMode};
use crate::record::{BodyDigest, ConnectionChange, RecordedCall, Recorder, Stamp};
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

/// Bytes of a body that are read at once.
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
    /// 200.
    pub fn ok() -> Answer {
        Answer::Line("200 OK".into())
    }

    /// 500: the call may have run.
    pub fn failed() -> Answer {
        Answer::Line("500 Internal Server Error".into())
    }

    /// 429: rejected, to be retried after this many seconds (an integer or a decimal).
    pub fn full(wait: &str) -> Answer {
        Answer::Line(format!("429 Too Many Requests\r\nRetry-After: {wait}"))
    }

    fn status(&self) -> u16 {
        match self {
            Answer::Line(line) => line.get(..3).and_then(|status| status.parse().ok()).unwrap_or(0),
            _ => 0,
        }
    }

    /// Whether the call has run, or may have: only a rejection says that it did not.
    fn ran(&self) -> bool {
        !matches!(self.status(), 429 | 503 | 504 | 410)
    }
}

struct PartnerState {
    number: usize,
    recorder: Recorder,
    answers: Box<dyn Fn(&RecordedCall) -> Answer>,
    /// Calls that wait to be released, by their index in the record.
    pending: RefCell<BTreeMap<usize, oneshot::Sender<Answer>>>,
    /// Open connections, with the courier of each.
    open: RefCell<BTreeMap<u64, (usize, OwnedFd)>>,
}

/// A partner with a listener for each courier.
pub struct Partner {
    /// The destination that it serves.
    pub dest: u64,
    listeners: Vec<CourierListener>,
    shared: Rc<PartnerState>,
}

impl Partner {
    /// Opens the partner with this number, for this many couriers. `answers` gives the answer when the body of a call has been
    /// read; a call with several messages is one call without an id. Must run in a `LocalSet`.
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
                        // An error of the connection is recorded with its call.
                        let _ = serve(stream, connection, courier, &shared, mode).await;
                        shared.connection_closed(connection);
                    }
                }
            })
        };
        let listeners = (0..couriers).map(listener).collect::<Result<_>>()?;
        Ok(Partner { dest, listeners, shared })
    }

    /// The address for this courier.
    pub fn addr(&self, courier: usize) -> SocketAddr {
        self.listeners[courier].addr()
    }

    /// Sets the mode of the listener of this courier, from now on.
    pub fn set(&self, courier: usize, mode: ListenerMode) {
        self.listeners[courier].set(mode);
        let partner = self.shared.number;
        self.shared.recorder.record_fault(Fault::Partner { courier, partner, mode });
    }

    pub(crate) fn is_open(&self, courier: usize) -> bool {
        self.listeners[courier].mode() == ListenerMode::Open
    }

    /// Answers all pending calls of a message; returns how many there were.
    pub fn release(&self, id: &str, answer: Answer) -> usize {
        self.release_where(answer, |call| call.id == id)
    }

    /// Answers all pending calls that are selected; returns how many there were.
    pub fn release_where(&self, answer: Answer, selects: impl Fn(&RecordedCall) -> bool) -> usize {
        let mut pending = self.shared.pending.borrow_mut();
        let selected = self.shared.recorder.read(|record| {
            let selects = |n: &usize| selects(&record.calls[*n]);
            pending.keys().copied().filter(selects).collect::<Vec<_>>()
        });
        for n in &selected {
            // A call whose connection has ended meanwhile needs no answer.
            pending.remove(n).map(|to| to.send(answer.clone()));
        }
        selected.len()
    }
}

impl PartnerState {
    /// Records a new connection. Those that the courier has closed before are removed first, so that the count never exceeds
    /// what is open, in whatever order opening and closing are noticed here.
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

    /// Whether the courier has closed this connection.
    fn is_gone(&self, connection: u64) -> bool {
        self.open.borrow().get(&connection).is_none_or(|(_, fd)| hung_up(fd))
    }

    fn note(&self, call: usize, note: impl FnOnce(&mut RecordedCall, Stamp)) {
        self.recorder.write(|record, when| note(&mut record.calls[call], when));
    }
}

fn hung_up(fd: &OwnedFd) -> bool {
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut fds = [PollFd::new(fd, ends)];
    let result = poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
    result.is_ok_and(|n| n > 0) && fds[0].revents().intersects(ends)
}

/// Serves one connection of a courier until one side closes it.
async fn serve(
    stream: TcpStream,
    connection: u64,
    courier: usize,
    shared: &PartnerState,
    mode: watch::Receiver<ListenerMode>,
) -> Result<()> {
    let (from, to) = stream.into_split();
    let mut session = Session { reader: Reader::new(from), to, connection, courier, shared, mode };
    while let Some(head) = session.reader.head().await? {
        if !session.call(head).await? {
            break;
        }
    }
    Ok(())
}

/// One connection, with what its calls need.
struct Session<'a> {
    reader: Reader<OwnedReadHalf>,
    to: OwnedWriteHalf,
    /// Number of the connection, over all partners.
    connection: u64,
    /// The courier whose listener it came through.
    courier: usize,
    shared: &'a PartnerState,
    mode: watch::Receiver<ListenerMode>,
}

/// The connection of a call ended before its answer.
fn abandon(call: &mut RecordedCall, when: Stamp) {
    call.abandoned = Some(when);
}

impl Session<'_> {
    /// Serves one call; false: the connection is to end.
    async fn call(&mut self, head: Head) -> Result<bool> {
        if head.header("expect").is_some() {
            self.to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let body = BodyRemainder::from(head.framing());
        let n = self.record_call(head);
        if !self.read_body(n, body).await {
            return Ok(false);
        }
        let mut answer = self.shared.recorder.read(|record| (self.shared.answers)(&record.calls[n]));
        if answer == Answer::Pending {
            match self.released(n).await {
                Some(released) => answer = released,
                None => return Ok(false),
            }
        }
        self.answer(n, answer).await
    }

    /// Records the beginning of a call, and returns its index in the record.
    fn record_call(&self, head: Head) -> usize {
        let text = |name| head.header(name).map(str::to_string);
        let id = text("x-correlation-id").unwrap_or_default();
        let key = text("idempotency-key");
        let tenant = text("x-account");
        self.shared.recorder.write(|record, began| {
            record.call(RecordedCall {
                began,
                partner: self.shared.number,
                courier: self.courier,
                connection: self.connection,
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
        })
    }

    /// Reads the body to its end; false: the connection broke before.
    async fn read_body(&mut self, n: usize, mut left: BodyRemainder) -> bool {
        let mut crc = crc32fast::Hasher::new();
        let mut bytes = 0;
        let complete = loop {
            match self.reader.body(&mut left, READ).await {
                Ok(Some(part)) => {
                    bytes += part.len() as u64;
                    crc.update(&part);
                }
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        self.shared.note(n, |call, when| {
            call.body = BodyDigest { bytes, crc: crc.finalize() };
            if complete {
                call.whole = Some(when);
                call.ran = true;
            } else {
                abandon(call, when);
            }
        });
        complete
    }

    /// Waits for the answer that [`Partner::release`] gives; `None`: the connection ended before.
    async fn released(&mut self, n: usize) -> Option<Answer> {
        let (release, released) = oneshot::channel();
        self.shared.pending.borrow_mut().insert(n, release);
        tokio::select! {
            biased;
            answer = released => Some(answer.unwrap_or(Answer::Silent)),
            // Before the answer nothing can come but the end.
            _ = self.reader.head() => {
                self.shared.pending.borrow_mut().remove(&n);
                self.shared.note(n, abandon);
                None
            }
        }
    }

    /// Writes the answer, or does what stands in its place; false: the connection is to end.
    async fn answer(&mut self, n: usize, answer: Answer) -> Result<bool> {
        let (status, ran) = (answer.status(), answer.ran());
        let line = match answer {
            Answer::Line(line) => line,
            Answer::Reset => {
                let _ = self.to.as_ref().set_zero_linger();
                self.shared.note(n, abandon);
                return Ok(false);
            }
            Answer::Pending | Answer::Silent => {
                let _ = self.reader.head().await;
                self.shared.note(n, abandon);
                return Ok(false);
            }
        };
        if self.shared.is_gone(self.connection) {
            self.shared.note(n, |call, when| {
                call.ran = ran;
                abandon(call, when);
            });
            return Ok(false);
        }
        let unheard = *self.mode.borrow() == ListenerMode::AnswersLost;
        // Recorded first, so that the effects of the answer come after it in the record.
        self.shared.note(n, |call, when| {
            call.ran = ran;
            call.answered = Some((when, status));
            call.unheard = unheard;
        });
        if !unheard {
            self.to.write_all(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
        }
        Ok(true)
    }
}
