//! The platform's agent: the watch on discovery, which stays open, and the notices, which it confirms.

use crate::http::{Left, Reader};
use crate::{Eyes, What};
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// As long as nothing changes, an empty line comes so often.
const BEAT: Duration = Duration::from_secs(2);

/// Serves until its task ends. Every line that `list` takes on is told to whoever watches: one JSON object,
/// as PROTOCOL has it; an empty text tells nothing.
///
/// # Errors
/// No port could be had.
pub async fn open(eyes: Eyes, list: watch::Receiver<String>) -> Result<SocketAddr> {
    // Its sender is gone: it stays as it is.
    open_with(eyes, list, watch::channel(false).1).await
}

/// The same; while `down` says so, discovery is down: watches that are open fall silent, and what is asked
/// gets no answer, both for good.
///
/// # Errors
/// No port could be had.
pub async fn open_with(
    eyes: Eyes,
    list: watch::Receiver<String>,
    down: watch::Receiver<bool>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream, eyes.clone(), list.clone(), down.clone()));
        }
    });
    Ok(addr)
}

async fn serve(
    stream: TcpStream,
    eyes: Eyes,
    mut list: watch::Receiver<String>,
    mut down: watch::Receiver<bool>,
) -> Result<()> {
    let (from, mut to) = stream.into_split();
    let mut reader = Reader::new(from);
    while let Some(head) = reader.head().await? {
        if head.first.starts_with("POST /v2/finals ") {
            let (mut left, mut text) = (Left::from(head.framing()), Vec::new());
            while let Some(part) = reader.body(&mut left, usize::MAX).await? {
                text.extend_from_slice(&part);
            }
            for line in String::from_utf8_lossy(&text).lines() {
                eyes.see(id_of(line), What::Notice(line.to_string())).await;
            }
            to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await?;
            continue;
        }
        eyes.see("", What::Watched).await;
        if *down.borrow() {
            break;
        }
        to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            let line = list.borrow_and_update().clone() + "\n";
            to.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            tokio::select! {
                changed = list.changed() => if changed.is_err() { return Ok(()) },
                () = sleep(BEAT) => {}
                Ok(_) = down.wait_for(|down| *down) => break,
            }
        }
        break;
    }
    // Silent until the courier has closed it.
    while reader.head().await?.is_some() {}
    drop(to);
    Ok(())
}

/// The id in a notice's line.
fn id_of(line: &str) -> &str {
    let rest = line.split_once("\"id\":\"").map(|(_, rest)| rest);
    rest.and_then(|rest| rest.split('"').next()).unwrap_or_default()
}
