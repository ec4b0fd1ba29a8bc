//! The HTTP clients of the platform: the watch on discovery, and the notices of messages' ends.
//!
//! [`Watch`] and [`Notices`] decide when to request, to hedge and to back off; this module carries that out.

use super::courier::Courier;
use actix_rt::time::{sleep, timeout};
use futures_util::StreamExt;
use futures_util::future::{LocalBoxFuture, poll_fn};
use quillmount_core::Notice;
use quillmount_core::machine::notices::{ATTEMPT_TIMEOUT, NoticeInput, NoticeOutput, NoticeState, Notices};
use quillmount_core::machine::watch::{
    NOTIFICATION_DEADLINE, SILENCE_TIMEOUT, Watch, WatchInput, WatchOutput, WatchState,
};
use quillmount_policy::Micros;
use quillmount_protocol::{discovery, notice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// The address of the platform; it may change while the courier runs.
pub type Discovery = watch::Receiver<SocketAddr>;

/// How discovery is to be watched.
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// How many couriers watch the same discovery.
    pub couriers: u32,
    /// The seed of this courier's random delays.
    pub seed: u64,
    /// Others may start at the same time: the first request waits for a short random delay.
    pub delays_first: bool,
    /// The time in microseconds within which a drain has to take effect.
    pub drain_grace: Micros,
    /// Lists are pushed to an agent on the courier's own machine.
    pub pushed: bool,
}

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// A request was not answered.
    #[error("no answer: {0}")]
    Send(#[from] awc::error::SendRequestError),
    /// A request was answered with another status than 200.
    #[error("status {0}")]
    Status(awc::http::StatusCode),
    /// Nothing came for too long.
    #[error("silent for {:?}", Duration::from_micros(SILENCE_TIMEOUT))]
    Silent,
    /// The connection broke in the middle of the answer.
    #[error("broken off: {0}")]
    Broken(#[from] awc::error::PayloadError),
    /// The answer ended.
    #[error("ended")]
    Ended,
    /// The answer has a list that can't be read.
    #[error(transparent)]
    List(#[from] discovery::DiscoveryError),
}

/// Why the platform did not answer an attempt to send notices.
#[derive(Debug, thiserror::Error)]
enum NoticeError {
    /// The connection failed before an answer.
    #[error(transparent)]
    Send(#[from] awc::error::SendRequestError),
    /// There was no answer within the attempt's time.
    #[error("no answer in time")]
    TimedOut,
}

/// Watches discovery for as long as the courier runs, whatever fails. When its address changes, the old watch goes on until
/// the new one has answered, so that no change is missed in between.
pub async fn watch(courier: Rc<Courier>, mut discovery: Discovery, mut options: WatchOptions) {
    let mut tasks = WatchTasks::default();
    loop {
        let older = &mut tasks.0;
        let addr = *discovery.borrow_and_update();
        let task = actix_rt::spawn(follow(courier.clone(), addr, discovery.clone(), older.clone(), options));
        // A new address is requested at once: the old one closes its watches.
        options.delays_first = false;
        older.retain(|task| !task.is_finished());
        older.push(task.abort_handle());
        if discovery.changed().await.is_err() {
            return;
        }
    }
}

/// The tasks of the watches; aborted on drop.
#[derive(Default)]
struct WatchTasks(Vec<AbortHandle>);

impl Drop for WatchTasks {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

/// Watches at one address, until discovery has moved away.
async fn follow(
    courier: Rc<Courier>,
    addr: SocketAddr,
    discovery: Discovery,
    mut older: Vec<AbortHandle>,
    options: WatchOptions,
) {
    let moved = || *discovery.borrow() != addr;
    let WatchOptions { couriers, seed, delays_first, drain_grace, pushed } = options;
    let machine = Watch::of_fleet(courier.clock.now(), couriers, seed, delays_first, drain_grace);
    let mut machine = machine.with_pushed_lists(pushed);
    let mut output = if delays_first { WatchOutput::Nothing } else { WatchOutput::Request };
    let mut requests = PendingRequests::default();
    loop {
        let ended = match output {
            WatchOutput::Stop => return,
            WatchOutput::Request | WatchOutput::Hedge { .. } => {
                let retained = if let WatchOutput::Hedge { keep } = output { keep } else { 0 };
                if retained < requests.0.len().min(1) {
                    tracing::warn!(
                        "discovery: watch: no answer for {:?}; requested again",
                        Duration::from_micros(NOTIFICATION_DEADLINE)
                    );
                }
                requests.0.truncate(retained);
                courier.count(|counters| counters.watches += 1);
                requests.0.push(Some(request(addr, courier.list_version())));
                watch_once(&courier, &mut machine, &mut requests, &mut older, &moved).await
            }
            _ => {
                sleep(courier.clock.until(machine.wake_at().unwrap_or_default())).await;
                Err(WatchError::Silent)
            }
        };
        let Err(e) = ended;
        // The machine detects silence, and the end of a backoff, by the time.
        let input = match e {
            WatchError::Silent => WatchInput::Tick { moved: moved() },
            _ => WatchInput::Broken { moved: moved() },
        };
        let waited = matches!(machine.state(), WatchState::BackingOff { .. });
        output = machine.step(input, courier.clock.now());
        match output {
            WatchOutput::BackOff(backoff) => {
                requests.0.clear();
                tracing::warn!("discovery: watch: {e}; again in {:?}", Duration::from_micros(backoff));
            }
            WatchOutput::Stop if !waited => {
                tracing::info!("discovery: the watch at the former address {addr} ended: {e}");
            }
            _ => {}
        }
    }
}

type Answer = Result<awc::ClientResponse, WatchError>;
type PendingRequest = LocalBoxFuture<'static, Answer>;

/// Requests a watch on a new connection: an idle one may be dead, which nothing would show.
fn request(addr: SocketAddr, after: u64) -> PendingRequest {
    // The request is given up before this limit.
    let client = super::plain_client(Duration::from_micros(2 * NOTIFICATION_DEADLINE), true);
    let response = client.get(format!("http://{addr}{}", discovery::watch_path(after))).send();
    Box::pin(async move {
        // The connection ends with its client.
        let _client = client;
        let answer = response.await?;
        match answer.status() {
            awc::http::StatusCode::OK => Ok(answer),
            other => Err(WatchError::Status(other)),
        }
    })
}

/// The requests in flight, in the order in which they were sent; one that failed leaves its slot empty.
#[derive(Default)]
struct PendingRequests(Vec<Option<PendingRequest>>);

/// What became of the requests in flight.
enum PollOutcome {
    /// The first one that was answered.
    Answer(Box<awc::ClientResponse>),
    /// One has failed.
    Failed {
        /// Why.
        error: WatchError,
        /// No other is in flight.
        last: bool,
    },
}

impl PendingRequests {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<PollOutcome> {
        for n in 0..self.0.len() {
            let Some(request) = &mut self.0[n] else { continue };
            let Poll::Ready(answer) = request.as_mut().poll(cx) else { continue };
            self.0[n] = None;
            return Poll::Ready(match answer {
                Ok(answer) => PollOutcome::Answer(Box::new(answer)),
                Err(error) => PollOutcome::Failed { error, last: self.0.iter().all(Option::is_none) },
            });
        }
        Poll::Pending
    }
}

/// Waits for an answer to the requests in flight, and follows its lists until it ends.
async fn watch_once(
    courier: &Rc<Courier>,
    machine: &mut Watch,
    requests: &mut PendingRequests,
    older: &mut Vec<AbortHandle>,
    moved: &impl Fn() -> bool,
) -> Result<std::convert::Infallible, WatchError> {
    let mut answer = loop {
        match in_time(courier, machine, poll_fn(|cx| requests.poll(cx))).await? {
            PollOutcome::Answer(answer) => break answer,
            PollOutcome::Failed { error, last: true } => return Err(error),
            PollOutcome::Failed { error, last: false } => {
                tracing::warn!("discovery: watch: {error}; another request is pending");
                machine.step(WatchInput::Lost, courier.clock.now());
            }
        }
    };
    requests.0.clear();
    machine.step(WatchInput::Answered, courier.clock.now());
    let mut lists = discovery::ListDecoder::default();
    loop {
        let chunk = in_time(courier, machine, answer.next()).await?;
        let outcome = lists.feed(&chunk.ok_or(WatchError::Ended)??);
        if outcome.alive {
            let heard = WatchInput::Received { moved: moved() };
            if machine.step(heard, courier.clock.now()) == WatchOutput::EndOlderWatches {
                older.drain(..).for_each(|task| task.abort());
            }
        }
        for list in outcome.lists {
            courier.list(list);
        }
        if let Some(e) = outcome.error {
            return Err(e.into());
        }
    }
}

/// Waits for something as long as the machine does.
async fn in_time<T>(
    courier: &Courier,
    machine: &Watch,
    event: impl Future<Output = T>,
) -> Result<T, WatchError> {
    debug_assert!(matches!(machine.state(), WatchState::Requesting { .. } | WatchState::Following { .. }));
    let left = courier.clock.until(machine.wake_at().unwrap_or_default());
    timeout(left, event).await.map_err(|_| WatchError::Silent)
}

/// Sends notices, many at a time, until the platform has confirmed each.
pub async fn notify(courier: Rc<Courier>, mut discovery: Discovery) {
    let client = super::plain_client(Duration::from_micros(ATTEMPT_TIMEOUT), true);
    let mut machine = Notices::default();
    loop {
        let notices = courier.notices(machine.max_batch_len());
        let wanted = NoticeInput::Wanted(notices.len());
        let NoticeOutput::Send(_) = machine.step(wanted, courier.clock.now()) else {
            courier.wait_for_notices().await;
            continue;
        };
        // In a fleet, an end is reported once it is replicated, and only under a lease.
        courier.wait_until_may_act().await;
        courier.count(|counters| counters.notice_tries += 1);
        let addr = *discovery.borrow_and_update();
        let left = courier.clock.until(machine.wake_at().unwrap_or_default());
        let attempt = timeout(left, post_notices(&client, addr, &notices));
        let input = tokio::select! {
            biased;
            status = attempt => match status.unwrap_or(Err(NoticeError::TimedOut)) {
                Ok(204) => NoticeInput::Confirmed,
                Ok(400) => NoticeInput::Unreadable,
                other => {
                    let result = other.map_err(|e| e.to_string());
                    tracing::warn!(notices = notices.len(), ?result, "notices: the platform did not confirm");
                    NoticeInput::Lost
                }
            },
            Ok(()) = discovery.changed() => NoticeInput::DiscoveryMoved,
        };
        match machine.step(input, courier.clock.now()) {
            NoticeOutput::Confirmed => courier.notices_confirmed(&notices),
            NoticeOutput::Discard => {
                tracing::error!(id = ?notices[0].id, "notices: the platform can't read a notice: it is discarded");
                courier.notices_confirmed(&notices);
            }
            _ => {}
        }
        while let NoticeState::BackingOff { until } = machine.state() {
            sleep(courier.clock.until(until)).await;
            machine.step(NoticeInput::Tick, courier.clock.now());
        }
    }
}

/// Sends notices once; returns the status that the platform answers.
async fn post_notices(
    client: &awc::Client,
    addr: SocketAddr,
    notices: &[Notice],
) -> Result<u16, NoticeError> {
    let request = client.post(format!("http://{addr}{}", notice::PATH));
    let mut answer = request.send_body(notice::encode(notices)).await?;
    // The connection can be used for the next notices once the body is read.
    while let Some(Ok(_)) = answer.next().await {}
    Ok(answer.status().as_u16())
}
