//! A provider with a script for each call: how it reads the body, and what it answers when.

use crate::http::{BodyRemainder, Head, Reader};
use crate::{ObservationKind, Observer};
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes that are read of a body at once, where no rate is set.
const READ: usize = 256 * 1024;

/// What a provider does with one call.
#[derive(Clone, Debug)]
pub struct EndpointScript {
    /// Bytes of the body that it reads a second; 0: as fast as they come.
    pub rate: u64,
    /// It rests for so long before it reads the byte with this number.
    pub stall: Option<(u64, Duration)>,
    /// It reads no byte from this one on.
    pub stop_at: Option<u64>,
    /// It resets the connection at this byte.
    pub reset_at: Option<u64>,
    /// It answers when it has read so many bytes, and reads on.
    pub early: Option<u64>,
    /// Between the last byte and the answer.
    pub delay: Duration,
    /// First line and headers of the answer, without the last empty line; `None`: it never answers.
    pub answer: Option<String>,
}

impl Default for EndpointScript {
    fn default() -> Self {
        EndpointScript {
            rate: 0,
            stall: None,
            stop_at: None,
            reset_at: None,
            early: None,
            delay: Duration::ZERO,
            answer: Some("200 OK".into()),
        }
    }
}

impl EndpointScript {
    /// Answers so, as in `429 Too Many Requests\r\nRetry-After: 0.5`.
    pub fn answers(text: &str) -> Self {
        EndpointScript { answer: Some(text.into()), ..EndpointScript::default() }
    }

    /// Never answers.
    pub fn silent() -> Self {
        EndpointScript { answer: None, ..EndpointScript::default() }
    }
}

/// Serves calls until its task ends; must run in a `LocalSet` or on a single thread. `script` says what becomes of
/// each call, by its head and the number of calls with its id before.
///
/// # Errors
/// No port could be had.
pub async fn open(
    observer: Observer,
    script: impl Fn(&Head) -> EndpointScript + 'static,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let script = Rc::new(script);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (observer, script) = (observer.clone(), script.clone());
            // A connection that breaks has been told of where it mattered.
            tokio::task::spawn_local(async move { serve(stream, observer, script.as_ref()).await });
        }
    });
    Ok(addr)
}

async fn serve(
    stream: TcpStream,
    observer: Observer,
    script: &dyn Fn(&Head) -> EndpointScript,
) -> Result<()> {
    stream.set_nodelay(true)?;
    let (from, mut to) = stream.into_split();
    let mut reader = Reader::new(from);
    while let Some(head) = reader.head().await? {
        let id = head.header("x-correlation-id").unwrap_or_default().to_string();
        observer.observe(&id, ObservationKind::CallBegan).await;
        let script = script(&head);
        if head.header("expect").is_some() && script.early != Some(0) {
            to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let (mut left, mut bytes, mut crc) =
            (BodyRemainder::from(head.framing()), 0, crc32fast::Hasher::new());
        let (begun, mut answered) = (Instant::now(), false);
        let whole = loop {
            if script.stop_at.is_some_and(|at| bytes >= at) {
                std::future::pending::<()>().await;
            }
            if script.reset_at.is_some_and(|at| bytes >= at) {
                observer
                    .observe(&id, ObservationKind::Body { bytes, crc: crc.finalize(), whole: false })
                    .await;
                // Closed with bytes that are not read, it is reset.
                return Ok(());
            }
            if script.early.is_some_and(|at| bytes >= at) && !answered {
                answered = true;
                answer(&mut to, &script, &observer, &id).await?;
            }
            if let Some((at, stall)) = script.stall
                && bytes >= at
                && begun.elapsed() < stall
            {
                sleep_until(begun + stall).await;
            }
            let next = [script.stop_at, script.reset_at, script.early, script.stall.map(|p| p.0)];
            let next = next.into_iter().flatten().filter(|at| *at > bytes).min().unwrap_or(u64::MAX);
            let most = if script.rate > 0 { (script.rate / 20).max(1) } else { READ as u64 };
            match reader.body(&mut left, most.min(next - bytes) as usize).await {
                Ok(Some(part)) => {
                    bytes += part.len() as u64;
                    crc.update(&part);
                    if let Some(millis) = (bytes * 1_000).checked_div(script.rate) {
                        sleep_until(begun + Duration::from_millis(millis)).await;
                    }
                }
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        observer.observe(&id, ObservationKind::Body { bytes, crc: crc.finalize(), whole }).await;
        if !whole {
            return Ok(());
        }
        if answered {
            continue;
        }
        if script.answer.is_none() {
            // Until the courier gives up.
            let _ = reader.head().await;
            observer.observe(&id, ObservationKind::Abandoned).await;
            return Ok(());
        }
        sleep(script.delay).await;
        answer(&mut to, &script, &observer, &id).await?;
    }
    Ok(())
}

async fn answer(
    to: &mut (impl AsyncWriteExt + Unpin),
    script: &EndpointScript,
    observer: &Observer,
    id: &str,
) -> Result<()> {
    if let Some(answer) = &script.answer {
        to.write_all(format!("HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
        observer.observe(id, ObservationKind::Answered(answer.replace("\r\n", ", "))).await;
    }
    Ok(())
}
