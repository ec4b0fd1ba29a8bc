//! The task of one client's connection.
//!
//! [`ClientConnection`] decides what happens next on the connection; [`ClientTask::run`] carries that out until the
//! machine closes the connection or another process takes it over.

use super::answer::{Answer, Received};
use super::connections::{Connections, Registration, ResumedClient};
use super::socket::ClientSocket;
use super::{LAST_REQUEST_TIMEOUT, LOG_TARGET};
use crate::transport::courier::Courier;
use crate::transport::handle::HandoverPart;
use actix_http::ConnectionType;
use actix_rt::net::TcpStream;
use actix_rt::time::{Instant, sleep, sleep_until, timeout};
use quillmount_core::machine::client::{ClientConnection, ClientInput, ClientOutput, ClientState};
use quillmount_protocol::submission::{self, Malformed};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// A complete request comes within this of the connect, or of the end of an idle period: a client is owed an answer
/// within 3 s, and waits 400 ms itself.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// How long a connection may be idle between requests; the platform asks for 2 s at least.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// An answer is small; a client that reads nothing for this long is gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// How one wait for a request ended.
enum RequestWait {
    Received(Received),
    TimedOut,
    /// Another process is to wait for the request.
    Transferred,
}

/// What happened on the connection, for its machine.
enum Progress {
    Input(ClientInput),
    /// Nothing has happened, since the connection is to be handed over.
    Transferred,
    /// A request was read; its answer is to be written when the machine says so.
    Answer(Answer, ClientInput),
}

/// One client's connection.
pub(super) struct ClientTask {
    pub(super) socket: ClientSocket,
    pub(super) courier: Rc<Courier>,
    pub(super) registration: Registration,
    /// The connection is asked to close, or to be handed over.
    pub(super) leave: Rc<Notify>,
}

/// Starts the task of a connection: a new one, or one of another process with its state and the bytes that were read
/// from it.
pub fn start_client(
    connections: &Rc<Connections>,
    courier: &Rc<Courier>,
    stream: TcpStream,
    resumed: Option<ResumedClient>,
) {
    // An answer must not wait for the acknowledgement of the one before; where this fails, it waits.
    let _ = stream.set_nodelay(true);
    let ResumedClient { state, bytes } = resumed.unwrap_or_default();
    let number = connections.enter(state);
    let leave = Rc::new(Notify::new());
    let client = ClientTask {
        socket: ClientSocket::new(stream, bytes),
        courier: courier.clone(),
        registration: Registration { connections: connections.clone(), number },
        leave: leave.clone(),
    };
    connections.add_task(number, actix_rt::spawn(client.run(state)), leave);
}

impl ClientTask {
    /// Serves the connection from this state on, until it closes or is handed over.
    pub(super) async fn run(mut self, state: ClientState) {
        match self.run_machine(state).await {
            Err(e) => tracing::debug!(target: LOG_TARGET, "server: a client's connection: {e}"),
            Ok(Some(state)) => {
                // The registration is dropped last: the connection counts until its part is handed over.
                let ClientTask { socket, courier, .. } = self;
                let (stream, bytes) = socket.into_parts();
                courier.handle.release(HandoverPart::Client { state, bytes }, Some(stream));
            }
            Ok(None) => {}
        }
    }

    /// Carries out what the connection's machine asks for, until it closes; returns the state from which another process
    /// is to resume it, if one is.
    async fn run_machine(&mut self, state: ClientState) -> io::Result<Option<ClientState>> {
        let connections = self.registration.connections.clone();
        let (mut machine, mut output) = ClientConnection::resumed(state);
        let mut answer = None;
        loop {
            if self.is_releasing() && matches!(output, ClientOutput::Read | ClientOutput::Rest) {
                return Ok(Some(machine.state()));
            }
            let progress = match output {
                ClientOutput::Read => self.next_request(&connections).await?,
                ClientOutput::Answer { closes } => {
                    let Some(answer) = answer.take() else { return Ok(None) };
                    self.write_answer(answer, closes).await?;
                    Progress::Input(ClientInput::Answered)
                }
                ClientOutput::Rest => self.idle().await,
                ClientOutput::AwaitLastRequest => Progress::Input(self.await_last_request().await),
                ClientOutput::Linger => {
                    self.socket.linger().await?;
                    Progress::Input(ClientInput::Lingered)
                }
                ClientOutput::Nothing | ClientOutput::Close => return Ok(None),
            };
            let input = match progress {
                Progress::Input(input) => input,
                Progress::Transferred => continue,
                Progress::Answer(received, input) => {
                    answer = Some(received);
                    input
                }
            };
            output = machine.step(input);
            // A connection that is being answered counts as requesting still: the answer is small.
            let is_new_state = matches!(
                output,
                ClientOutput::Read
                    | ClientOutput::Rest
                    | ClientOutput::AwaitLastRequest
                    | ClientOutput::Linger
            );
            if is_new_state {
                connections.set_state(self.registration.number, machine.state());
            }
        }
    }

    /// Whether the connection is to be handed over to another process.
    fn is_releasing(&self) -> bool {
        self.courier.handle.lifecycle().is_releasing()
    }

    async fn write_answer(&mut self, answer: Answer, closes: bool) -> io::Result<()> {
        let Answer { mut response, stream } = answer;
        if closes {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let bytes = self.socket.encode(response)?;
        let written = timeout(WRITE_TIMEOUT, self.socket.stream.write_all(&bytes)).await;
        if let Some(msg) = stream {
            self.courier.stream_answered(msg, matches!(written, Ok(Ok(()))));
        }
        written?
    }

    /// Waits for the first byte of the next request, or until the connection is to close.
    async fn idle(&mut self) -> Progress {
        self.socket.free_buffer();
        tokio::select! {
            biased;
            _ = self.socket.stream.readable() => Progress::Input(ClientInput::Readable),
            () = self.leave.notified() => match self.is_releasing() {
                true => Progress::Transferred,
                false => Progress::Input(ClientInput::Leave),
            },
            () = sleep(IDLE_TIMEOUT) => Progress::Input(ClientInput::Leave),
        }
    }

    /// Waits a moment for a request that may be on its way to a connection that is to close.
    async fn await_last_request(&mut self) -> ClientInput {
        match timeout(LAST_REQUEST_TIMEOUT, self.socket.stream.readable()).await {
            Ok(_) => ClientInput::Readable,
            Err(_) if self.socket.read_arrived() => ClientInput::Readable,
            Err(_) => ClientInput::NothingArrived,
        }
    }

    /// Waits for a request and acts on it; its answer, where it is owed one.
    async fn next_request(&mut self, connections: &Connections) -> io::Result<Progress> {
        let mut deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut is_extended = false;
        let received = loop {
            match self.await_request(connections, deadline).await? {
                RequestWait::Transferred => return Ok(Progress::Transferred),
                RequestWait::Received(received) => break received,
                RequestWait::TimedOut => {}
            }
            let is_silent = self.socket.is_between_requests();
            // A request that came in this very moment would be lost with the connection.
            if is_silent && !std::mem::replace(&mut is_extended, true) && self.socket.read_arrived() {
                deadline = Instant::now() + LAST_REQUEST_TIMEOUT;
                continue;
            }
            break match self.socket.is_between_requests() {
                // A client that sends nothing is owed no answer.
                true => Received::Nothing,
                false => Received::Malformed(Malformed::Slow),
            };
        };
        Ok(self.answer(received, connections).await)
    }

    /// Reads one request, until `deadline`, until the connection is to close, or until it is to be handed over.
    async fn await_request(
        &mut self,
        connections: &Connections,
        mut deadline: Instant,
    ) -> io::Result<RequestWait> {
        let (number, leave, courier) = (self.registration.number, self.leave.clone(), self.courier.clone());
        let request = self.read_request(connections);
        tokio::pin!(request);
        loop {
            tokio::select! {
                biased;
                received = &mut request => return Ok(RequestWait::Received(received?)),
                () = leave.notified() => {
                    if courier.handle.lifecycle().is_releasing() {
                        return Ok(RequestWait::Transferred);
                    }
                    // Capacity is short: a request on its way has a moment left. A signal that was sent while the
                    // connection was idle does not count: its request had come by then, and has its full time.
                    if connections.is_asked_to_close(number) {
                        deadline = deadline.min(Instant::now() + LAST_REQUEST_TIMEOUT);
                    }
                }
                () = sleep_until(deadline) => return Ok(RequestWait::TimedOut),
            }
        }
    }

    /// The answer to what was received; a stream's body is passed on first.
    async fn answer(&mut self, received: Received, connections: &Connections) -> Progress {
        let probe = matches!(received, Received::Probed(_));
        let (answer, request_closes) = match received {
            Received::Nothing => return Progress::Input(ClientInput::Silent),
            // On the heap: every other connection's task would be as large otherwise.
            Received::Stream(request) => (Box::pin(self.receive_stream(&request, connections)).await, true),
            Received::Answered(response) | Received::Probed(response) => (response.into(), false),
            Received::Malformed(why) => {
                self.courier.count(|counters| counters.malformed += 1);
                connections.log_malformed(why);
                (submission::refuse(why).into(), why.ends_connection())
            }
        };
        let answer_closes = answer.response.head().connection_type() == ConnectionType::Close;
        let closes = request_closes
            || answer_closes
            || !self.socket.keep_alive()
            || connections.closes_after_answers();
        Progress::Answer(answer, ClientInput::Requested { probe, closes })
    }
}
