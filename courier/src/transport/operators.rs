//! The listener that operators call, and what their calls come to.

use super::courier::Courier;
use super::frames;
use super::server::Connections;
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use quillmount_core::machine::drain::{Input, Output};
use quillmount_core::machine::life;
use quillmount_protocol::operator::{self, BadCall, Call, LINE_MAX, Line};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// Callers at once. Some connect and say nothing for seconds; one more ends whoever has waited longest. Their
/// descriptors are set aside beside those of consumers and providers.
pub const CALLERS: usize = 32;
/// A caller has called by then.
const CALL: Duration = Duration::from_secs(5);
/// What is read behind an answer, so that it is not lost to a reset.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_MAX: usize = 64 * 1024;
/// Between two looks who decides, while this process hands over.
const LOOK: Duration = Duration::from_millis(2);
/// After an accept that failed, for want of descriptors mostly.
const ACCEPT_REST: Duration = Duration::from_millis(20);

/// Where operators' calls are carried out.
pub struct Desk {
    courier: Rc<Courier>,
    connections: Rc<Connections>,
    moved: Notify,
    /// Where the process listens that takes over.
    folder: PathBuf,
}

impl Desk {
    pub fn new(courier: Rc<Courier>, connections: Rc<Connections>, folder: PathBuf) -> Rc<Self> {
        Rc::new(Desk { courier, connections, moved: Notify::new(), folder })
    }

    /// Goes on with the drain of another process.
    pub fn drained(&self) {
        self.step(Input::Drain);
    }

    /// The answer to a call, from this process or from the one that has taken over.
    pub async fn answer(&self, call: Call) -> String {
        // What changes now would not be among what is handed over; it is not known yet who decides.
        while self.courier.handle.life().hands_over() && !self.courier.handle.life().has_ended() {
            sleep(LOOK).await;
        }
        let said = if self.courier.handle.life().has_ended() {
            match frames::pass_on(&self.folder, &call).await {
                Ok(said) => return said,
                Err(e) => Err(format!("another process has taken over, and can't be asked: {e}")),
            }
        } else {
            self.call(&call)
        };
        if call != Call::Ready {
            tracing::info!("operators: {call:?}: {said:?}");
        }
        operator::answer(said.as_deref().map_err(String::as_str))
    }

    /// Looks for connections at rest while the courier is drained.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let wake = self.courier.handle.life().look_at();
            match wake {
                None => self.moved.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = sleep(self.courier.clock.until(at)) => {}
                        () = self.moved.notified() => {}
                    }
                    self.step(Input::Tick);
                }
            }
        }
    }

    fn step(&self, input: Input) {
        let life::Output::Drain(output) = self.courier.handle.live(life::Input::Drain(input)) else { return };
        let drained = self.courier.handle.life().is_drained();
        match output {
            Output::Nothing => {}
            Output::LastAnswers | Output::Keep => {
                tracing::info!(
                    "operators: {}",
                    if drained { "drained" } else { "consumers are wanted again" }
                );
                let stops = self.courier.handle.life().stopping().is_some();
                self.connections.close_after_answers(drained || stops);
                self.moved.notify_one();
            }
            Output::Empty => drop(self.connections.close_idle()),
        }
    }

    fn hold(&self, id: &str, held: bool) -> Result<(), String> {
        self.courier.hold(id, held).map_err(|e| e.to_string())
    }

    /// Carries a call out; what is to be said of it, or why nothing was done.
    fn call(&self, call: &Call) -> Result<String, String> {
        let life = self.courier.handle.life();
        match call {
            Call::Ready if life.stopping().is_some() => Err("this process is stopping".into()),
            Call::Ready if life.is_serving() => Ok("ready".into()),
            Call::Ready => Err("this process does not serve yet".into()),
            Call::Drain => {
                self.step(Input::Drain);
                Ok("drained: the front is told no".into())
            }
            Call::Undrain => {
                self.step(Input::Undrain);
                Ok("consumers are wanted".into())
            }
            Call::Disable(id) => self.hold(id, true).map(|()| format!("{id} is out")),
            Call::Enable(id) => self.hold(id, false).map(|()| format!("{id} is back")),
        }
    }
}

/// Accepts callers until it is dropped. Without a desk each is told that this process does not serve yet: it may be
/// waiting for another to hand over.
pub async fn serve(listener: &TcpListener, desk: Option<Rc<Desk>>) {
    let mut callers: VecDeque<tokio::task::JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Where it can't be said, an answer waits a moment.
                let _ = stream.set_nodelay(true);
                callers.retain(|caller| !caller.is_finished());
                // Who has waited longest has had most time to call.
                while callers.len() >= CALLERS
                    && let Some(silent) = callers.pop_front()
                {
                    silent.abort();
                }
                callers.push_back(actix_rt::spawn(attend(stream, desk.clone())));
            }
            Err(e) => {
                tracing::warn!("operators: accept: {e}");
                sleep(ACCEPT_REST).await;
            }
        }
    }
}

/// One caller: a line, its answer, the end.
async fn attend(mut stream: TcpStream, desk: Option<Rc<Desk>>) {
    let Ok(Some(call)) = timeout(CALL, heard(&mut stream)).await else { return };
    let answer = match (call, desk) {
        (Ok(call), Some(desk)) => desk.answer(call).await,
        (Ok(_), None) => operator::answer(Err("this process does not serve yet")),
        (Err(why), _) => {
            tracing::info!("operators: no call: {why}");
            operator::answer(Err(&why.to_string()))
        }
    };
    let told = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    };
    if timeout(LINGER, told).await.is_ok_and(|told| told.is_ok()) {
        // What the caller still sends would reset the connection, and the answer with it.
        let (mut rest, mut left) = ([0; 1_024], LINGER_MAX);
        let drained = async {
            while left > 0 {
                match stream.read(&mut rest).await {
                    Ok(n) if n > 0 => left = left.saturating_sub(n),
                    _ => return,
                }
            }
        };
        let _ = timeout(LINGER, drained).await;
    }
}

/// Reads one line, in whatever pieces it comes; `None`: the caller has gone without a word.
async fn heard(stream: &mut TcpStream) -> Option<Result<Call, BadCall>> {
    let mut bytes = Vec::with_capacity(64);
    let mut piece = [0; LINE_MAX];
    loop {
        let n = stream.read(&mut piece).await.ok()?;
        bytes.extend_from_slice(&piece[..n]);
        if n == 0 && bytes.is_empty() {
            return None;
        }
        if let Line::Whole(call) = operator::read(&bytes, n == 0) {
            return Some(call);
        }
    }
}
