//! The HTTP clients of the platform: the watch on discovery, and the notices of messages' ends.
//!
//! [`Watch`] and [`Notices`] decide when to request, to hedge and to back off; this module carries that out.

use super::courier::Courier;
use actix_rt::time::{sleep, timeout};
use futures_util::StreamExt;
use futures_util::future::{LocalBoxFuture, poll_fn};
use quillmount_core::machine::notices::{self, Notices};
use quillmount_core::machine::watch::{NOTIFIED_WITHIN, SILENCE, Watch, WatchInput, WatchOutput, WatchState};
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

/// The other couriers that watch the same discovery, and how this one is to watch.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// How many couriers there are.
    pub couriers: u32,
    /// The seed of this courier's random delays.
    pub seed: u64,
    /// Others may start at the same time: the first request waits for a short random delay.
    pub starts: bool,
    /// The time within which a drain has to take effect.
    pub heed: Micros,
    /// Lists are pushed to an agent on the courier's own machine.
    pub pushed: bool,
}

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no answer: {0}")]
    Send(#[from] awc::error::SendRequestError),
    #[error("status {0}")]
    Status(awc::http::StatusCode),
    #[error("silent for {:?}", Duration::from_micros(SILENCE))]
    Silent,
    #[error("broken off: {0}")]
    Broken(#[from] awc::error::PayloadError),
    #[error("ended")]
    Ended,
    #[error(transparent)]
    List(#[from] discovery::DiscoveryError),
}

/// Watches discovery for as long as the courier runs, whatever fails. When its address changes, the old watch goes on until
/// the new one has answered, so that no change is missed in between.
pub async fn watch(courier: Rc<Courier>, mut discovery: Discovery, mut fleet: Fleet) {
    let mut tasks = Tasks::default();
    loop {
        let older = &mut tasks.0;
        let addr = *discovery.borrow_and_update();
        let task = actix_rt::spawn(follow(courier.clone(), addr, discovery.clone(), older.clone(), fleet));
        // A new address is requested at once: the old one closes its watches.
        fleet.starts = false;
        older.retain(|task| !task.is_finished());
        older.push(task.abort_handle());
        if discovery.changed().await.is_err() {
            return;
        }
    }
}

/// The tasks of the watches; aborted on drop.
#[derive(Default)]
struct Tasks(Vec<AbortHandle>);

impl Drop for Tasks {
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
    fleet: Fleet,
) {
    let moved = || *discovery.borrow() != addr;
    let Fleet { couriers, seed, starts, heed, pushed } = fleet;
    let machine = Watch::of_fleet(courier.clock.now(), couriers, seed, starts, heed);
    let mut machine = machine.where_pushed(pushed);
    let mut todo = if starts { WatchOutput::Nothing } else { WatchOutput::Request };
    let mut out = PendingRequests::default();
    loop {
        let ended = match todo {
            WatchOutput::Stop => return,
            WatchOutput::Request | WatchOutput::Hedge { .. } => {
                let keep = if let WatchOutput::Hedge { keep } = todo { keep } else { 0 };
                if keep < out.0.len().min(1) {
                    tracing::warn!(
                        "discovery: watch: no answer for {:?}; asked anew",
                        Duration::from_micros(NOTIFIED_WITHIN)
                    );
                }
                out.0.truncate(keep);
                courier.count(|c| c.watches += 1);
                out.0.push(Some(request(addr, courier.list_version())));
                watch_once(&courier, &mut machine, &mut out, &mut older, &moved).await
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
        todo = machine.step(input, courier.clock.now());
        match todo {
            WatchOutput::BackOff(backoff) => {
                out.0.clear();
                tracing::warn!("discovery: watch: {e}; again in {:?}", Duration::from_micros(backoff));
            }
            WatchOutput::Stop if !waited => {
                tracing::info!("discovery: the watch at {addr}, where it was before, is over: {e}");
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
    let client = super::plain_client(Duration::from_micros(2 * NOTIFIED_WITHIN), true);
    let asked = client.get(format!("http://{addr}{}", discovery::watch_path(after))).send();
    Box::pin(async move {
        let _client = client;
        let answer = asked.await?;
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
        with: WatchError,
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
                Err(with) => PollOutcome::Failed { with, last: self.0.iter().all(Option::is_none) },
            });
        }
        Poll::Pending
    }
}

/// Waits for an answer to the requests in flight, and follows its lists until it ends.
async fn watch_once(
    courier: &Rc<Courier>,
    machine: &mut Watch,
    out: &mut PendingRequests,
    older: &mut Vec<AbortHandle>,
    moved: &impl Fn() -> bool,
) -> Result<std::convert::Infallible, WatchError> {
    let mut answer = loop {
        match in_time(courier, machine, poll_fn(|cx| out.poll(cx))).await? {
            PollOutcome::Answer(answer) => break answer,
            PollOutcome::Failed { with, last: true } => return Err(with),
            PollOutcome::Failed { with, last: false } => {
                tracing::warn!("discovery: watch: {with}; another question is out");
                machine.step(WatchInput::Lost, courier.clock.now());
            }
        }
    };
    out.0.clear();
    machine.step(WatchInput::Answered, courier.clock.now());
    let mut lists = discovery::ListDecoder::default();
    loop {
        let chunk = in_time(courier, machine, answer.next()).await?;
        let outcome = lists.feed(&chunk.ok_or(WatchError::Ended)??);
        if outcome.alive {
            let heard = WatchInput::Heard { moved: moved() };
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

/// Waits for `what` as long as the machine does.
async fn in_time<T>(
    courier: &Courier,
    machine: &Watch,
    what: impl Future<Output = T>,
) -> Result<T, WatchError> {
    debug_assert!(matches!(machine.state(), WatchState::Requesting { .. } | WatchState::Following { .. }));
    let left = courier.clock.until(machine.wake_at().unwrap_or_default());
    timeout(left, what).await.map_err(|_| WatchError::Silent)
}

/// Sends notices, many at a time, until the platform has confirmed each.
pub async fn notify(courier: Rc<Courier>, mut discovery: Discovery) {
    let client = super::plain_client(Duration::from_micros(notices::ATTEMPT_TIMEOUT), true);
    let mut machine = Notices::default();
    loop {
        let notices = courier.notices(machine.most());
        let wanted = notices::NoticeInput::Wanted(notices.len());
        let notices::NoticeOutput::Send(_) = machine.step(wanted, courier.clock.now()) else {
            courier.notices_wanted().await;
            continue;
        };
        // In a fleet, an end is reported once it is replicated, and only under a lease.
        courier.may_act().await;
        courier.count(|c| c.notice_tries += 1);
        let addr = *discovery.borrow_and_update();
        let post = client.post(format!("http://{addr}{}", notice::PATH)).send_body(notice::encode(&notices));
        let left = courier.clock.until(machine.wake_at().unwrap_or_default());
        let tried = timeout(left, async {
            let mut answer = post.await.map_err(|e| e.to_string())?;
            while let Some(Ok(_)) = answer.next().await {}
            Ok(answer.status().as_u16())
        });
        let input = tokio::select! {
            biased;
            status = tried => match status.unwrap_or_else(|_| Err("no answer in time".to_string())) {
                Ok(204) => notices::NoticeInput::Confirmed,
                Ok(400) => notices::NoticeInput::Unreadable,
                other => {
                    tracing::warn!(notices = notices.len(), result = ?other, "notices: the platform did not confirm");
                    notices::NoticeInput::Lost
                }
            },
            Ok(()) = discovery.changed() => notices::NoticeInput::Moved,
        };
        match machine.step(input, courier.clock.now()) {
            notices::NoticeOutput::Confirmed => courier.notices_confirmed(&notices),
            notices::NoticeOutput::Discard => {
                tracing::error!(id = ?notices[0].id, "notices: the platform can't read a notice: it is discarded");
                courier.notices_confirmed(&notices);
            }
            _ => {}
        }
        while let notices::NoticeState::BackingOff { until } = machine.state() {
            sleep(courier.clock.until(until)).await;
            machine.step(notices::NoticeInput::Tick, courier.clock.now());
        }
    }
}
