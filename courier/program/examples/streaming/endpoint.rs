//! An endpoint that reads bodies at a given rate, or stops reading in the middle of large ones.

use crate::http::{BLOCK, Head, read_head};
use std::collections::HashMap;
use std::io::{BufReader, Error, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// When each small message arrived, by its id.
pub type Arrivals = Arc<Mutex<HashMap<String, Instant>>>;

/// How an endpoint reads.
#[derive(Clone, Copy)]
pub struct Reading {
    /// Bytes a second; `None`: as fast as it can.
    pub rate: Option<u64>,
    /// It stops after so many bytes of a large body, and keeps the connection.
    pub stops_after: Option<u64>,
}

impl Reading {
    /// Reads everything as fast as it can.
    pub const FULL_SPEED: Reading = Reading { rate: None, stops_after: None };
}

/// Starts an endpoint that answers 200 to every body it has read to its end.
pub fn start(reading: Reading, arrivals: Arrivals) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let arrivals = arrivals.clone();
            // A connection that breaks ends its thread.
            thread::spawn(move || serve(stream, reading, &arrivals));
        }
    });
    Ok(addr)
}

fn serve(mut stream: TcpStream, reading: Reading, arrivals: &Arrivals) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(BLOCK, stream.try_clone()?);
    let mut block = vec![0; 4 * BLOCK];
    while let Some(Head { length, id, .. }) = read_head(&mut reader)? {
        let is_large = length > BLOCK as u64;
        if is_large {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        if !read_body(&mut reader, &mut block, length, reading)? {
            return Ok(());
        }
        if !is_large {
            arrivals.lock().map_err(|_| Error::other("a thread died"))?.insert(id, Instant::now());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
    }
    Ok(())
}

/// Reads a body at the endpoint's rate. Returns false if the connection ended before.
fn read_body(reader: &mut impl Read, block: &mut [u8], length: u64, reading: Reading) -> Result<bool> {
    let started = Instant::now();
    // A tenth of a second's bytes at a time.
    let most = reading.rate.map_or(block.len(), |rate| (rate / 10) as usize);
    let mut read = 0;
    while read < length {
        let n = reader.read(&mut block[..most.min((length - read) as usize)])?;
        if n == 0 {
            return Ok(false);
        }
        read += n as u64;
        if length > BLOCK as u64 && reading.stops_after.is_some_and(|stop| read >= stop) {
            // It reads nothing more, and keeps its connection.
            thread::sleep(Duration::from_secs(3_600));
        }
        if let Some(rate) = reading.rate {
            let due = Duration::from_millis(read * 1_000 / rate);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
    }
    Ok(true)
}
