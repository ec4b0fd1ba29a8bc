//! A consumer: hands in one invocation on a connection of its own, and reads the answer.

use crate::http::{BodyRemainder, Head, Reader};
use bytes::Bytes;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// Streamed bodies repeat a block of this size.
const BLOCK: usize = 64 * 1024;

/// An invocation as a consumer writes its head.
#[derive(Clone, Debug)]
pub struct MessageRequest {
    /// The class of the message.
    pub class: String,
    /// The id of the message.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its destination.
    pub dest: u64,
    /// What follows in `X-Addressing`, as in `,settlement=evening,position=1`.
    pub of: String,
    /// The time that it may take.
    pub time_left: Duration,
    /// Further headers, each with its line end; the body's framing is one of them unless it is small.
    pub headers: String,
}

impl MessageRequest {
    /// A request without a key or further headers.
    pub fn new(class: &str, id: &str, dest: u64, time_left: Duration) -> Self {
        let (of, headers) = Default::default();
        MessageRequest { class: class.into(), id: id.into(), key: None, dest, of, time_left, headers }
    }

    /// The head's bytes.
    pub fn head(&self) -> String {
        let MessageRequest { class, id, dest, of, headers, .. } = self;
        let key = self.key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let left = self.time_left.as_millis();
        format!(
            "POST /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n{key}X-Time-Left: {left}m\r\n\
             X-Addressing: dest={dest}{of}\r\n{headers}\r\n"
        )
    }
}

/// Hands in an invocation with a small body, and returns the answer's head.
///
/// # Errors
/// The connection broke, or no answer came.
pub async fn submit(courier: SocketAddr, message: &MessageRequest, body: &[u8]) -> Result<Head> {
    let mut stream = TcpStream::connect(courier).await?;
    let mut with_length = message.clone();
    with_length.headers += &format!("Content-Length: {}\r\n", body.len());
    stream.write_all(&[with_length.head().as_bytes(), body].concat()).await?;
    Reader::new(stream).head().await?.ok_or(ErrorKind::UnexpectedEof.into())
}

/// The status and the body of the answer to a GET.
///
/// # Errors
/// The connection broke, or no whole answer came.
pub async fn get(courier: SocketAddr, path: &str) -> Result<(u16, String)> {
    let mut stream = TcpStream::connect(courier).await?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut reader = Reader::new(stream);
    let head = reader.head().await?.ok_or(ErrorKind::UnexpectedEof)?;
    let (mut left, mut body) = (BodyRemainder::from(head.framing()), Vec::new());
    while let Some(part) = reader.body(&mut left, BLOCK).await? {
        body.extend_from_slice(&part);
    }
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// A body as a consumer sends it.
#[derive(Clone, Debug)]
pub struct BodyScript {
    /// Length of the body.
    pub bytes: u64,
    /// In chunks of this size; 0: with a length.
    pub chunk: usize,
    /// Bytes a second; 0: as fast as they are taken.
    pub rate: u64,
    /// It rests for so long at this byte.
    pub stall: Option<(u64, Duration)>,
    /// It ends the connection at this byte.
    pub cut_at: Option<u64>,
    /// It asks first, and waits for 100 before it sends the body.
    pub expects_continue: bool,
}

impl BodyScript {
    /// A body of this length, sent at once.
    pub fn of(bytes: u64) -> Self {
        BodyScript { bytes, chunk: 0, rate: 0, stall: None, cut_at: None, expects_continue: false }
    }
}

/// What a consumer saw of its stream.
#[derive(Clone, Debug)]
pub struct StreamResult {
    /// The final answer; `None`: the connection ended without one.
    pub answer: Option<Head>,
    /// It was told 100.
    pub continued: bool,
    /// Until the final answer, or the end.
    pub took: Duration,
}

impl StreamResult {
    /// The answer's status; 0 without one.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Head::status)
    }
}

/// The block that every streamed body repeats.
pub fn block() -> Bytes {
    let mut seed = 0x9E37_79B9u32;
    let bytes = std::iter::repeat_with(|| {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (seed >> 24) as u8
    });
    bytes.take(BLOCK).collect()
}

/// The CRC-32 of a body of so many bytes.
pub fn crc(bytes: u64) -> u32 {
    let (block, mut crc, mut left) = (block(), crc32fast::Hasher::new(), bytes);
    while left > 0 {
        let some = left.min(BLOCK as u64);
        crc.update(&block[..some as usize]);
        left -= some;
    }
    crc.finalize()
}

/// Streams an invocation, and reads its answer whenever that comes.
///
/// # Errors
/// No connection came up.
pub async fn stream(
    courier: SocketAddr,
    message: &MessageRequest,
    script: &BodyScript,
) -> Result<StreamResult> {
    let begun = Instant::now();
    let stream = TcpStream::connect(courier).await?;
    stream.set_nodelay(true)?;
    let (from, mut to) = stream.into_split();
    let mut with = message.clone();
    with.headers += &match script.chunk {
        0 => format!("Content-Length: {}\r\n", script.bytes),
        _ => "Transfer-Encoding: chunked\r\n".to_string(),
    };
    if script.expects_continue {
        with.headers += "Expect: 100-continue\r\n";
    }
    let mut reader = Reader::new(from);
    to.write_all(with.head().as_bytes()).await?;
    let mut continued = false;
    if script.expects_continue {
        match reader.head().await {
            Ok(Some(head)) if head.status() == 100 => continued = true,
            answer => {
                return Ok(StreamResult { answer: answer.ok().flatten(), continued, took: begun.elapsed() });
            }
        }
    }
    let answer = {
        let sending = send(&mut to, script);
        tokio::pin!(sending);
        let answer = reader.head();
        tokio::pin!(answer);
        tokio::select! {
            biased;
            answer = &mut answer => Some(answer),
            // What could not be sent was answered, or will not be.
            sent = &mut sending => match sent {
                Ok(false) => None,
                Ok(true) | Err(_) => Some(answer.await),
            },
        }
    };
    let answer = answer.and_then(|answer| answer.ok().flatten());
    Ok(StreamResult { answer, continued, took: begun.elapsed() })
}

/// Sends the body; false: it was cut off as the script has it.
async fn send(to: &mut (impl AsyncWrite + Unpin), script: &BodyScript) -> Result<bool> {
    let (block, begun, mut sent) = (block(), Instant::now(), 0);
    let most = if script.rate > 0 { (script.rate / 20).max(1) } else { BLOCK as u64 };
    while sent < script.bytes {
        if script.cut_at.is_some_and(|at| sent >= at) {
            return Ok(false);
        }
        if let Some((at, stall)) = script.stall
            && sent == at
        {
            sleep(stall).await;
        }
        let marks = [Some(script.bytes), script.cut_at, script.stall.map(|(at, _)| at)];
        let next = marks.into_iter().flatten().filter(|at| *at > sent).min().unwrap_or(script.bytes);
        let at = (sent % BLOCK as u64) as usize;
        let mut some = most.min(next - sent).min((BLOCK - at) as u64);
        if script.chunk > 0 {
            some = some.min(script.chunk as u64);
            to.write_all(format!("{some:x}\r\n").as_bytes()).await?;
        }
        to.write_all(&block[at..at + some as usize]).await?;
        if script.chunk > 0 {
            to.write_all(b"\r\n").await?;
        }
        sent += some;
        if let Some(millis) = (sent * 1_000).checked_div(script.rate) {
            sleep_until(begun + Duration::from_millis(millis)).await;
        }
    }
    if script.cut_at.is_some_and(|at| sent >= at) {
        return Ok(false);
    }
    if script.chunk > 0 {
        to.write_all(b"0\r\n\r\n").await?;
    }
    Ok(true)
}
