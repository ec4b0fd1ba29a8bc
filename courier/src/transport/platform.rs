//! The sockets of the platform: the watch on discovery, and the notices.

use super::courier::Courier;
use actix_rt::time::{sleep, timeout};
use futures_util::StreamExt;
use futures_util::future::{LocalBoxFuture, poll_fn};
use quillmount_core::machine::notices::{self, Notices};
use quillmount_core::machine::watch::{Input, Output, SILENCE, State, TOLD, Watch};
use quillmount_protocol::{discovery, notice};
use spurshore::Micros;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Where the platform is; it may move while the courier runs.
pub type Discovery = watch::Receiver<SocketAddr>;

/// What a courier knows of the others that ask the platform.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub couriers: u32,
    pub seed: u64,
    /// Others may start in this moment: the first question waits for a part of a moment.
    pub starts: bool,
    /// Within which a drain has to be heeded.
    pub heed: Micros,
    /// Lists are pushed to an agent of the courier's own machine.
    pub pushed: bool,
}

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

/// Watches discovery for as long as the courier runs, whatever discovery does. When it moves, the old
/// watch goes on until the new one has answered, so that no change is missed in between.
pub async fn watch(courier: Rc<Courier>, mut discovery: Discovery, mut fleet: Fleet) {
    let mut tasks = Tasks::default();
    loop {
        let older = &mut tasks.0;
        let addr = *discovery.borrow_and_update();
        let task = actix_rt::spawn(follow(courier.clone(), addr, discovery.clone(), older.clone(), fleet));
        // A new place is asked at once: the old one closes its watches.
        fleet.starts = false;
        older.retain(|task| !task.is_finished());
        older.push(task.abort_handle());
        if discovery.changed().await.is_err() {
            return;
        }
    }
}

/// The watches, which end with their keeper.
#[derive(Default)]
struct Tasks(Vec<AbortHandle>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

/// Watches at one address, until discovery has moved from there.
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
    let mut todo = if starts { Output::Nothing } else { Output::Ask };
    let mut out = Questions::default();
    loop {
        let over = match todo {
            Output::Stop => return,
            Output::Ask | Output::AskBeside { .. } => {
                let stay = if let Output::AskBeside { stay } = todo { stay } else { 0 };
                if stay < out.0.len().min(1) {
                    tracing::warn!(
                        "discovery: watch: no answer for {:?}; asked anew",
                        Duration::from_micros(TOLD)
                    );
                }
                out.0.truncate(stay);
                courier.count(|c| c.watches += 1);
                out.0.push(Some(question(addr, courier.list_version())));
                watch_once(&courier, &mut machine, &mut out, &mut older, &moved).await
            }
            _ => {
                sleep(courier.clock.until(machine.wake_at().unwrap_or_default())).await;
                Err(WatchError::Silent)
            }
        };
        let Err(e) = over;
        // Silence, and the end of a pause, are the machine's own findings.
        let input = match e {
            WatchError::Silent => Input::Tick { moved: moved() },
            _ => Input::Broken { moved: moved() },
        };
        let waited = matches!(machine.state(), State::Pausing { .. });
        todo = machine.step(input, courier.clock.now());
        match todo {
            Output::Pause(pause) => {
                out.0.clear();
                tracing::warn!("discovery: watch: {e}; again in {:?}", Duration::from_micros(pause));
            }
            Output::Stop if !waited => {
                tracing::info!("discovery: the watch at {addr}, where it was before, is over: {e}");
            }
            _ => {}
        }
    }
}

type Answer = Result<awc::ClientResponse, WatchError>;
type Question = LocalBoxFuture<'static, Answer>;

/// Asks on a connection of its own: one that rested may be dead, and nothing would say so.
fn question(addr: SocketAddr, after: u64) -> Question {
    // It is given up before.
    let client = super::plain_client(Duration::from_micros(2 * TOLD), true);
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

/// The questions that are out, in the order in which they were asked; one that failed leaves its place empty.
#[derive(Default)]
struct Questions(Vec<Option<Question>>);

/// What became of them.
enum Came {
    Answer(Box<awc::ClientResponse>),
    /// One has failed; `last`: no other is out.
    Failed {
        with: WatchError,
        last: bool,
    },
}

impl Questions {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Came> {
        for n in 0..self.0.len() {
            let Some(question) = &mut self.0[n] else { continue };
            let Poll::Ready(answer) = question.as_mut().poll(cx) else { continue };
            self.0[n] = None;
            return Poll::Ready(match answer {
                Ok(answer) => Came::Answer(Box::new(answer)),
                Err(with) => Came::Failed { with, last: self.0.iter().all(Option::is_none) },
            });
        }
        Poll::Pending
    }
}

/// Waits for an answer to what is out, and follows it to its end.
async fn watch_once(
    courier: &Rc<Courier>,
    machine: &mut Watch,
    out: &mut Questions,
    older: &mut Vec<AbortHandle>,
    moved: &impl Fn() -> bool,
) -> Result<std::convert::Infallible, WatchError> {
    let mut answer = loop {
        match in_time(courier, machine, poll_fn(|cx| out.poll(cx))).await? {
            Came::Answer(answer) => break answer,
            Came::Failed { with, last: true } => return Err(with),
            Came::Failed { with, last: false } => {
                tracing::warn!("discovery: watch: {with}; another question is out");
                machine.step(Input::Lost, courier.clock.now());
            }
        }
    };
    out.0.clear();
    machine.step(Input::Answered, courier.clock.now());
    let mut lists = discovery::Lists::default();
    loop {
        let chunk = in_time(courier, machine, answer.next()).await?;
        let said = lists.feed(&chunk.ok_or(WatchError::Ended)??);
        if said.lives {
            let heard = Input::Heard { moved: moved() };
            if machine.step(heard, courier.clock.now()) == Output::TakeOver {
                older.drain(..).for_each(|task| task.abort());
            }
        }
        for list in said.lists {
            courier.list(list);
        }
        if let Some(e) = said.end {
            return Err(e.into());
        }
    }
}

/// Waits for as long as the machine does.
async fn in_time<T>(
    courier: &Courier,
    machine: &Watch,
    what: impl Future<Output = T>,
) -> Result<T, WatchError> {
    debug_assert!(matches!(machine.state(), State::Asking { .. } | State::Following { .. }));
    let left = courier.clock.until(machine.wake_at().unwrap_or_default());
    timeout(left, what).await.map_err(|_| WatchError::Silent)
}

/// Sends notices, many at a time, until the platform has confirmed each.
pub async fn notify(courier: Rc<Courier>, mut discovery: Discovery) {
    let client = super::plain_client(Duration::from_micros(notices::TRY), true);
    let mut machine = Notices::default();
    loop {
        let notices = courier.notices(machine.most());
        let wanted = notices::Input::Wanted(notices.len());
        let notices::Output::Send(_) = machine.step(wanted, courier.clock.now()) else {
            courier.notices_wanted().await;
            continue;
        };
        // In a fleet: an end is told once others know it too, and by whoever may.
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
        let word = tokio::select! {
            biased;
            status = tried => match status.unwrap_or_else(|_| Err("no answer in time".to_string())) {
                Ok(204) => notices::Input::Confirmed,
                Ok(400) => notices::Input::Unreadable,
                other => {
                    tracing::warn!("notices: {} not confirmed: {other:?}", notices.len());
                    notices::Input::Lost
                }
            },
            Ok(()) = discovery.changed() => notices::Input::Moved,
        };
        match machine.step(word, courier.clock.now()) {
            notices::Output::Told => courier.told(&notices),
            notices::Output::LetGo => {
                tracing::error!("notices: the platform can't read the one for {:?}", notices[0].id);
                courier.told(&notices);
            }
            _ => {}
        }
        while let notices::State::Resting { until } = machine.state() {
            sleep(courier.clock.until(until)).await;
            machine.step(notices::Input::Tick, courier.clock.now());
        }
    }
}
