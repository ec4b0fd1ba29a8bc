//! The listener that operators call, and the service that carries their calls out.
//!
//! A caller sends one line and gets one line; `quillmount_protocol::operator` has their form.

use super::ACCEPT_BACKOFF;
use super::courier::Courier;
use super::frames::{self, PassOnError};
use super::server::Connections;
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use quillmount_core::disabled::DisableError;
use quillmount_core::machine::drain::{DrainInput, DrainOutput};
use quillmount_core::machine::lifecycle;
use quillmount_protocol::operator::{self, LINE_MAX, Line, OperatorCall, OperatorCallError};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// Callers at once. Some connect and send nothing for seconds; one more ends the one that is connected longest. Their
/// descriptors are reserved beside those of clients and endpoints.
pub const CALLERS: usize = 32;
/// A caller's line has to come within this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// After an answer, this time and this many bytes are waited for, so that the answer is not lost to a reset.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_MAX: usize = 64 * 1024;
/// The interval at which is checked which process decides, while this one hands over.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Why an operator's call was not carried out; the text is the answer to the operator.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The process is in its planned stop.
    #[error("this process is stopping")]
    Stopping,
    /// The process starts, or waits for another to hand over.
    #[error("this process does not serve yet")]
    NotServing,
    /// Another process has taken over, and the call could not be passed on to it.
    #[error("another process has taken over, and can't be asked: {0}")]
    PassOn(#[source] PassOnError),
    /// The endpoint could not be disabled or enabled.
    #[error(transparent)]
    Disable(#[from] DisableError),
}

/// Where operators' calls are carried out.
pub struct OperatorService {
    courier: Rc<Courier>,
    connections: Rc<Connections>,
    /// The time of the next drain check has changed.
    drain_check_moved: Notify,
    /// Where the process listens that takes over.
    folder: PathBuf,
}

impl OperatorService {
    /// A service for the calls to this courier; `folder`: where the next process listens.
    pub fn new(courier: Rc<Courier>, connections: Rc<Connections>, folder: PathBuf) -> Rc<Self> {
        Rc::new(OperatorService { courier, connections, drain_check_moved: Notify::new(), folder })
    }

    /// Continues the drain of the previous process.
    pub fn resume_drain(&self) {
        self.step(DrainInput::Drain);
    }

    /// Carries a call out, in this process or in the one that has taken over; returns the line to answer.
    pub async fn answer(&self, call: OperatorCall) -> String {
        // A change now would be missing in the state that is handed over; it is not decided yet which process serves.
        while self.courier.handle.lifecycle().is_releasing() && !self.courier.handle.lifecycle().has_ended() {
            sleep(HANDOVER_POLL_INTERVAL).await;
        }
        let outcome = if self.courier.handle.lifecycle().has_ended() {
            match frames::pass_on(&self.folder, &call).await {
                Ok(answer) => return answer,
                Err(e) => Err(CallError::PassOn(e)),
            }
        } else {
            self.call(&call)
        };
        let outcome = outcome.map_err(|e| e.to_string());
        if call != OperatorCall::Ready {
            tracing::info!("operators: {call:?}: {outcome:?}");
        }
        operator::answer(outcome.as_deref().map_err(String::as_str))
    }

    /// Closes idle connections at regular intervals while the courier is drained; never returns.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let wake = self.courier.handle.lifecycle().drain_check_at();
            tokio::select! {
                () = self.courier.clock.sleep_until(wake) => {}
                () = self.drain_check_moved.notified() => {}
            }
            if wake.is_some() {
                self.step(DrainInput::Tick);
            }
        }
    }

    fn step(&self, input: DrainInput) {
        let lifecycle::LifecycleOutput::Drain(output) =
            self.courier.handle.step_lifecycle(lifecycle::LifecycleInput::Drain(input))
        else {
            return;
        };
        let drained = self.courier.handle.lifecycle().is_drained();
        match output {
            DrainOutput::Nothing => {}
            DrainOutput::CloseAfterAnswers | DrainOutput::KeepConnections => {
                tracing::info!(
                    "operators: {}",
                    if drained { "drained" } else { "undrained: clients are admitted again" }
                );
                let stops = self.courier.handle.lifecycle().stopping_since().is_some();
                self.connections.close_after_answers(drained || stops);
                self.drain_check_moved.notify_one();
            }
            DrainOutput::CloseIdle => drop(self.connections.close_idle()),
        }
    }

    /// Carries a call out in this process; returns the text of the answer.
    fn call(&self, call: &OperatorCall) -> Result<String, CallError> {
        let lifecycle = self.courier.handle.lifecycle();
        match call {
            OperatorCall::Ready if lifecycle.stopping_since().is_some() => Err(CallError::Stopping),
            OperatorCall::Ready if lifecycle.is_serving() => Ok("ready".into()),
            OperatorCall::Ready => Err(CallError::NotServing),
            OperatorCall::Drain => {
                self.step(DrainInput::Drain);
                Ok("drained: the front is told no".into())
            }
            OperatorCall::Undrain => {
                self.step(DrainInput::Undrain);
                Ok("consumers are wanted".into())
            }
            OperatorCall::Disable(id) => {
                self.courier.set_disabled(id, true)?;
                Ok(format!("{id} is out"))
            }
            OperatorCall::Enable(id) => {
                self.courier.set_disabled(id, false)?;
                Ok(format!("{id} is back"))
            }
        }
    }
}

/// Accepts callers until it is dropped. Without a service each is answered that this process does not serve yet: it may be
/// waiting for another to hand over.
pub async fn serve(listener: &TcpListener, service: Option<Rc<OperatorService>>) {
    let mut callers: VecDeque<tokio::task::JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Where this fails, an answer waits a moment.
                let _ = stream.set_nodelay(true);
                callers.retain(|caller| !caller.is_finished());
                // The oldest caller has had the most time to call.
                while callers.len() >= CALLERS
                    && let Some(silent) = callers.pop_front()
                {
                    silent.abort();
                }
                callers.push_back(actix_rt::spawn(serve_caller(stream, service.clone())));
            }
            Err(e) => {
                tracing::warn!(error = %e, "operators: accepting a connection failed");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves one caller: reads its line, answers it, and closes the connection.
async fn serve_caller(mut stream: TcpStream, service: Option<Rc<OperatorService>>) {
    let Ok(Some(call)) = timeout(CALL_TIMEOUT, read_call(&mut stream)).await else { return };
    let answer = match (call, service) {
        (Ok(call), Some(service)) => service.answer(call).await,
        (Ok(_), None) => operator::answer(Err(&CallError::NotServing.to_string())),
        (Err(why), _) => {
            tracing::info!("operators: no call: {why}");
            operator::answer(Err(&why.to_string()))
        }
    };
    let written = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    };
    if timeout(LINGER, written).await.is_ok_and(|written| written.is_ok()) {
        // Bytes that the caller still sends would reset the connection, and the answer would be lost.
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

/// Reads one line, in whatever chunks it comes; `None`: the caller has gone without sending anything.
async fn read_call(stream: &mut TcpStream) -> Option<Result<OperatorCall, OperatorCallError>> {
    let mut bytes = Vec::with_capacity(64);
    let mut chunk = [0; LINE_MAX];
    loop {
        let n = stream.read(&mut chunk).await.ok()?;
        bytes.extend_from_slice(&chunk[..n]);
        if n == 0 && bytes.is_empty() {
            return None;
        }
        if let Line::Complete(call) = operator::read(&bytes, n == 0) {
            return Some(call);
        }
    }
}
