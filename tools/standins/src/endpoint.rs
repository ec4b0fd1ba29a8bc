//! An endpoint with a script for each call: how it reads the body, and what it answers when.

mod script;

pub use script::EndpointScript;

use crate::http::{BodyRemainder, Head, NextStep, Reader};
use crate::{ObservationKind, Observer};
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes of a body that are read at once, if the script sets no rate.
const READ: u64 = 256 * 1024;
/// Reads per second into which a rate is divided.
const RATED_READS_PER_SECOND: u64 = 20;

/// Serves calls until its task ends; must run in a `LocalSet` or on a single thread. `script` gives the script of each call, by its
/// head.
///
/// # Errors
/// The system has no port.
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
            // An error ends the connection; what matters of it has been observed.
            tokio::task::spawn_local(async move { serve(stream, observer, script.as_ref()).await });
        }
    });
    Ok(addr)
}

/// Serves one connection until a side closes it.
async fn serve(
    stream: TcpStream,
    observer: Observer,
    script: &dyn Fn(&Head) -> EndpointScript,
) -> Result<()> {
    stream.set_nodelay(true)?;
    let (from, to) = stream.into_split();
    let mut session = Session { reader: Reader::new(from), to, observer };
    while let Some(head) = session.reader.head().await? {
        if session.serve_call(&head, script).await? == NextStep::Close {
            break;
        }
    }
    Ok(())
}

/// One connection.
struct Session {
    reader: Reader<OwnedReadHalf>,
    to: OwnedWriteHalf,
    observer: Observer,
}

/// One call, while its body is read.
struct Call {
    id: String,
    script: EndpointScript,
    body: BodyRemainder,
    /// When the body began.
    began: Instant,
    /// Bytes of the body that were read.
    bytes: u64,
    crc: crc32fast::Hasher,
    /// It was answered before its body was complete.
    answered: bool,
}

impl Session {
    async fn serve_call(
        &mut self,
        head: &Head,
        script: &dyn Fn(&Head) -> EndpointScript,
    ) -> Result<NextStep> {
        let id = head.header("x-correlation-id").unwrap_or_default().to_string();
        self.observer.observe(&id, ObservationKind::CallBegan).await;
        let script = script(head);
        if head.header("expect").is_some() && script.early != Some(0) {
            self.to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let mut call = Call {
            id,
            script,
            body: BodyRemainder::from(head.framing()),
            began: Instant::now(),
            bytes: 0,
            crc: crc32fast::Hasher::new(),
            answered: false,
        };
        let complete = self.read_body(&mut call).await?;
        let body =
            ObservationKind::Body { bytes: call.bytes, crc: call.crc.clone().finalize(), whole: complete };
        self.observer.observe(&call.id, body).await;
        if !complete {
            // If bytes were received that are not read, the system resets the connection.
            return Ok(NextStep::Close);
        }
        if call.answered {
            return Ok(NextStep::Continue);
        }
        self.finish_call(&call).await
    }

    /// Reads the body as the script has it; returns whether it is complete.
    ///
    /// # Errors
    /// An early answer could not be written.
    async fn read_body(&mut self, call: &mut Call) -> Result<bool> {
        loop {
            if call.script.stop_at.is_some_and(|at| call.bytes >= at) {
                std::future::pending::<()>().await;
            }
            if call.script.reset_at.is_some_and(|at| call.bytes >= at) {
                return Ok(false);
            }
            if call.script.early.is_some_and(|at| call.bytes >= at) && !call.answered {
                call.answered = true;
                self.answer(call).await?;
            }
            call.stall().await;
            let most = call.next_read();
            match self.reader.body(&mut call.body, most).await {
                Ok(Some(part)) => call.received(&part).await,
                Ok(None) => return Ok(true),
                Err(_) => return Ok(false),
            }
        }
    }

    /// Answers a call whose body is complete, or never does.
    async fn finish_call(&mut self, call: &Call) -> Result<NextStep> {
        if call.script.answer.is_none() {
            // Returns when the courier gives up.
            let _ = self.reader.head().await;
            self.observer.observe(&call.id, ObservationKind::Abandoned).await;
            return Ok(NextStep::Close);
        }
        sleep(call.script.delay).await;
        self.answer(call).await?;
        Ok(NextStep::Continue)
    }

    async fn answer(&mut self, call: &Call) -> Result<()> {
        let Some(answer) = &call.script.answer else { return Ok(()) };
        self.to.write_all(format!("HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n").as_bytes()).await?;
        let answered = ObservationKind::Answered(answer.replace("\r\n", ", "));
        self.observer.observe(&call.id, answered).await;
        Ok(())
    }
}

impl Call {
    /// Waits if the script stalls at this offset.
    async fn stall(&self) {
        if let Some((at, stall)) = self.script.stall
            && self.bytes >= at
            && self.began.elapsed() < stall
        {
            sleep_until(self.began + stall).await;
        }
    }

    /// Bytes that are read next, at most.
    fn next_read(&self) -> usize {
        let most = match self.script.rate {
            0 => READ,
            rate => (rate / RATED_READS_PER_SECOND).max(1),
        };
        most.min(self.script.next_offset(self.bytes) - self.bytes) as usize
    }

    /// Counts received bytes, and waits as the rate has it.
    async fn received(&mut self, part: &[u8]) {
        self.bytes += part.len() as u64;
        self.crc.update(part);
        if let Some(millis) = (self.bytes * 1_000).checked_div(self.script.rate) {
            sleep_until(self.began + Duration::from_millis(millis)).await;
        }
    }
}
