//! The clients of the platform: the watch on discovery, and the notices.

use crate::transport::courier::Courier;
use actix_rt::time::{sleep, timeout};
use futures_util::StreamExt;
use quillmount_protocol::{discovery, notice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A watch says something every two seconds; one silent for so long may be dead.
const SILENCE: Duration = Duration::from_secs(10);
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(2);
/// The platform takes notices at once; one try must leave time for another.
const NOTICE_TRY: Duration = Duration::from_millis(250);
const NOTICE_REST: Duration = Duration::from_millis(50);
/// Notices in one body: well under the platform's 64 KiB.
const BATCH: usize = 200;

/// Where the platform is; it may move while the courier runs.
pub type Discovery = watch::Receiver<SocketAddr>;

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no answer: {0}")]
    Send(#[from] awc::error::SendRequestError),
    #[error("status {0}")]
    Status(awc::http::StatusCode),
    #[error("silent for {SILENCE:?}")]
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
pub async fn watch(courier: Rc<Courier>, mut discovery: Discovery) {
    let mut older: Vec<AbortHandle> = Vec::new();
    loop {
        let addr = *discovery.borrow_and_update();
        let task = actix_rt::spawn(follow(courier.clone(), addr, discovery.clone(), older.clone()));
        older.retain(|task| !task.is_finished());
        older.push(task.abort_handle());
        if discovery.changed().await.is_err() {
            return;
        }
    }
}

/// Watches at one address, until discovery has moved from there.
async fn follow(courier: Rc<Courier>, addr: SocketAddr, discovery: Discovery, mut older: Vec<AbortHandle>) {
    let client = super::plain_client(awc::Connector::new().timeout(RETRY_MAX));
    let mut pause = RETRY_FIRST;
    loop {
        courier.count(|c| c.watches += 1);
        let mut heard = false;
        let answered = || older.drain(..).for_each(|task| task.abort());
        let Err(e) = watch_once(&client, &courier, addr, answered, &mut heard).await;
        if *discovery.borrow() != addr {
            return log::info!("discovery: the watch at {addr}, where it was before, is over: {e}");
        }
        if heard {
            pause = RETRY_FIRST;
        }
        log::warn!("discovery: watch: {e}; again in {pause:?}");
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}

async fn watch_once(
    client: &awc::Client,
    courier: &Rc<Courier>,
    addr: SocketAddr,
    answered: impl FnOnce(),
    heard: &mut bool,
) -> Result<std::convert::Infallible, WatchError> {
    let path = discovery::watch_path(courier.list_version());
    let request = client.get(format!("http://{addr}{path}")).send();
    let mut answer = timeout(SILENCE, request).await.map_err(|_| WatchError::Silent)??;
    if !answer.status().is_success() {
        return Err(WatchError::Status(answer.status()));
    }
    answered();
    let mut lines = discovery::Lines::default();
    loop {
        let chunk = timeout(SILENCE, answer.next()).await.map_err(|_| WatchError::Silent)?;
        let chunk = chunk.ok_or(WatchError::Ended)??;
        *heard = true;
        for list in lines.feed(&chunk)? {
            courier.list(list);
        }
    }
}

/// Sends notices, many at a time, until the platform has confirmed each.
pub async fn notify(courier: Rc<Courier>, mut discovery: Discovery) {
    let client = super::plain_client(awc::Connector::new().timeout(NOTICE_TRY));
    let mut batch = BATCH;
    loop {
        let notices = courier.notices(batch);
        if notices.is_empty() {
            courier.notices_wanted().await;
            continue;
        }
        courier.count(|c| c.notice_tries += 1);
        let addr = *discovery.borrow_and_update();
        let post = client.post(format!("http://{addr}{}", notice::PATH)).send_body(notice::encode(&notices));
        let tried = timeout(NOTICE_TRY, async {
            let mut answer = post.await.map_err(|e| e.to_string())?;
            while let Some(Ok(_)) = answer.next().await {}
            Ok(answer.status().as_u16())
        });
        let status = tokio::select! {
            biased;
            status = tried => status.unwrap_or_else(|_| Err("no answer in time".to_string())),
            // The platform has moved: told twice does no harm, told late does.
            Ok(()) = discovery.changed() => continue,
        };
        match status {
            Ok(204) => {
                batch = BATCH;
                courier.told(&notices);
            }
            // One line that can't be read must not keep the others back: find it, and let it go.
            Ok(400) if notices.len() > 1 => batch = 1,
            Ok(400) => {
                log::error!("notices: the platform can't read the one for {:?}", notices[0].id);
                courier.told(&notices);
            }
            other => {
                log::warn!("notices: {} not confirmed: {other:?}", notices.len());
                sleep(NOTICE_REST).await;
            }
        }
    }
}
