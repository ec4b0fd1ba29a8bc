//! What streams cost: speed beside a bare copy, memory beside slow readers, and the small messages' time beside both.
//!
//!     cargo build --release && cargo run --release -p quillmount --example streaming -- speed
//!     ... -- memory [STREAMS] [SECONDS]
//!     ... -- small [ROUNDS]
//!
//! Stand-ins on loopback, one thread each; the courier and the bare copy are processes of their own, whose CPU time and
//! resident memory the system tells. It is a measurement and no test.

use quillmount_standins::courier::{Courier, Setup};
use quillmount_standins::{Observer, platform};
use serde_json::json;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Error, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GB: u64 = 1_000_000_000;
const BLOCK: usize = 64 * 1024;
/// Small messages a second, and for how long.
const SMALL_RATE: u64 = 500;
const SMALL_SECONDS: u64 = 10;
const STREAMS: usize = 50;
/// How often the small messages' time is measured.
const ROUNDS: u64 = 5;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize, usual: u64| arguments.get(n).map_or(Ok(usual), |text| text.parse());
    let done = match arguments.first().map(String::as_str) {
        Some("relay") => match number(2, 0) {
            Ok(size) => relay(arguments.get(1).map_or("", String::as_str), size as usize),
            Err(e) => Err(Error::other(e)),
        },
        Some("speed") => speed(),
        Some("memory") => match (number(1, 100), number(2, 600)) {
            (Ok(streams), Ok(seconds)) => memory(streams, seconds),
            _ => Err(Error::other("memory [STREAMS] [SECONDS]: both are numbers")),
        },
        Some("small") => number(1, ROUNDS).map_err(Error::other).and_then(small),
        _ => Err(Error::other("say speed, memory or small")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("streaming: {e}");
            ExitCode::FAILURE
        }
    }
}

/// The courier's release build, beside the folder of the examples.
fn program() -> Result<PathBuf> {
    let path = std::env::current_exe()?;
    let folder = path.parent().and_then(|p| p.parent()).ok_or(Error::other("no folder"))?;
    let program = folder.join("quillmount");
    if program.exists() {
        Ok(program)
    } else {
        Err(Error::other(format!("{}: build it first", program.display())))
    }
}

/// A courier whose destinations 1 to `dests` all stand at one provider.
fn courier(endpoint: SocketAddr, dests: u64) -> Result<Courier> {
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (observer, _) = Observer::channel();
            let (_keep, list) = tokio::sync::watch::channel(String::new());
            let _ = sender.send(platform::open(observer, list).await?);
            std::future::pending::<Result<()>>().await
        })
    });
    let platform = receiver.recv().map_err(Error::other)?;
    let mut setup = Setup::new(program()?, platform, (1..=dests).map(|dest| (dest, endpoint)).collect());
    setup.operator = Some(json!({"version": 1, "streams": {"on": true, "largest": "8 GiB", "longest": "1h",
        "memory": "32 MiB", "share_of_slots": 1.0, "share_of_window": 1.0}}));
    (setup.slots, setup.open_cap) = (400, 4_000);
    Ok(Courier::start(setup)?)
}

fn head(id: &str, dest: u64, length: u64, seconds: u64) -> String {
    format!(
        "POST /fee-debit HTTP/1.1\r\nHost: c\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {}m\r\nX-Addressing: dest={dest}\r\n\
         Content-Length: {length}\r\n\r\n",
        seconds * 1_000
    )
}

/// Reads a head; returns its length in the body and its id.
fn read_head(reader: &mut impl BufRead) -> Result<Option<(String, u64, String)>> {
    let (mut first, mut length, mut id) = (String::new(), 0, String::new());
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().map_err(Error::other)?,
            "x-correlation-id" => id = value.trim().to_string(),
            _ => {}
        }
    }
    Ok(Some((first, length, id)))
}

type Arrivals = Arc<Mutex<HashMap<String, Instant>>>;

/// A provider that reads at `rate` bytes a second (0: as fast as it can) and answers 200; bodies of over 64 KiB are
/// read up to `stop` bytes.
fn endpoint(rate: u64, stop: u64, arrivals: Arrivals) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let arrivals = arrivals.clone();
            // A connection that breaks ends its thread.
            thread::spawn(move || serve(stream, rate, stop, &arrivals));
        }
    });
    Ok(addr)
}

fn serve(mut stream: TcpStream, rate: u64, stop: u64, arrivals: &Arrivals) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(BLOCK, stream.try_clone()?);
    let mut block = vec![0; 4 * BLOCK];
    while let Some((_, length, id)) = read_head(&mut reader)? {
        if length > BLOCK as u64 {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let (mut left, begun) = (length, Instant::now());
        while left > 0 {
            let most = if rate > 0 { (rate / 10) as usize } else { block.len() };
            let n = reader.read(&mut block[..most.min(left as usize)])?;
            if n == 0 {
                return Ok(());
            }
            left -= n as u64;
            let read = length - left;
            if length > BLOCK as u64 && read >= stop {
                // It reads nothing more, and keeps its connection.
                thread::sleep(Duration::from_secs(3_600));
            }
            if let Some(millis) = (read * 1_000).checked_div(rate) {
                thread::sleep(Duration::from_millis(millis).saturating_sub(begun.elapsed()));
            }
        }
        if length <= BLOCK as u64 {
            arrivals.lock().map_err(|_| Error::other("a thread died"))?.insert(id, Instant::now());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
    }
    Ok(())
}

/// Sends a body as fast as it is taken; returns the status.
fn send(to: SocketAddr, head: &str, length: u64) -> Result<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.write_all(head.as_bytes())?;
    let (block, mut left) = (vec![7; 4 * BLOCK], length);
    while left > 0 {
        let n = left.min(block.len() as u64);
        stream.write_all(&block[..n as usize])?;
        left -= n;
    }
    let mut reader = BufReader::new(stream);
    loop {
        let Some((first, ..)) = read_head(&mut reader)? else { return Err(Error::other("no answer")) };
        if !first.contains(" 100 ") {
            return Ok(first.trim().to_string());
        }
    }
}

/// Copies between two sockets, as `tokio::io::copy_bidirectional` does it, with its own buffers or with these.
fn relay(to: &str, size: usize) -> Result<()> {
    let to: SocketAddr = to.parse().map_err(Error::other)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        loop {
            let (mut from, _) = listener.accept().await?;
            let mut to = tokio::net::TcpStream::connect(to).await?;
            // One end closes first: that is its end.
            let _ = match size {
                0 => tokio::io::copy_bidirectional(&mut from, &mut to).await,
                _ => tokio::io::copy_bidirectional_with_sizes(&mut from, &mut to, size, size).await,
            };
        }
    })
}

struct Relay(Child);

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A bare copy to there, and where it is reached.
fn bare(to: SocketAddr, size: usize) -> Result<(Relay, SocketAddr)> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(["relay", &to.to_string(), &size.to_string()])
        .stdout(Stdio::piped())
        .spawn()?;
    let mut line = String::new();
    let out = child.stdout.take().ok_or(Error::other("no output"))?;
    let relay = Relay(child);
    BufReader::new(out).read_line(&mut line)?;
    Ok((relay, line.trim().parse().map_err(Error::other)?))
}

fn speed() -> Result<()> {
    let sink = endpoint(0, u64::MAX, Arrivals::default())?;
    let courier = courier(sink, 1)?;
    let (relay, at) = bare(sink, 0)?;
    let (large, large_at) = bare(sink, BLOCK)?;
    println!(
        "| round | bare copy, GB/s, CPU s/GB | with 64 KiB, GB/s, CPU s/GB | courier, GB/s, CPU s/GB | ratios |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for round in 1..=3 {
        let mut row = Vec::new();
        for (to, pid) in [(at, relay.0.id()), (large_at, large.0.id()), (courier.addr, courier.id())] {
            let (cpu, begun) = (cpu(pid), Instant::now());
            let status = send(to, &head(&format!("s{round}"), 1, 2 * GB, 600), 2 * GB)?;
            if !status.contains(" 200 ") {
                return Err(Error::other(status));
            }
            row.push((2.0 / begun.elapsed().as_secs_f64(), (self::cpu(pid) - cpu).as_secs_f64() / 2.0));
        }
        let [(bare, a), (large, b), (own, c)] = row[..] else { continue };
        let (one, two) = (own / bare, own / large);
        println!(
            "| {round} | {bare:.2}, {a:.2} | {large:.2}, {b:.2} | {own:.2}, {c:.2} | {one:.2}, {two:.2} |"
        );
    }
    println!("the courier's resident memory at most: {:.1} MB", courier.memory().1 as f64 / 1e6);
    Ok(())
}

/// CPU time of a process.
fn cpu(pid: u32) -> Duration {
    quillmount_standins::courier::cpu_of(pid)
}

fn memory(streams: u64, seconds: u64) -> Result<()> {
    let slow = endpoint(50_000, u64::MAX, Arrivals::default())?;
    let courier = courier(slow, streams)?;
    let idle = courier.memory().0;
    for n in 1..=streams {
        let (to, text) = (courier.addr, head(&format!("m{n}"), n, 2 * GB, 3_500));
        // It ends with the courier.
        thread::spawn(move || send(to, &text, 2 * GB));
    }
    println!(
        "{streams} streams of 2 GB against readers of 50 kB/s, {seconds} s; MB resident, {:.1} before",
        mb(idle)
    );
    println!("| second | now | at most so far |\n| --- | --- | --- |");
    let step = (seconds / 10).max(1);
    for n in 1..=seconds / step {
        thread::sleep(Duration::from_secs(step));
        let (now, most) = courier.memory();
        println!("| {} | {:.1} | {:.1} |", n * step, mb(now), mb(most));
    }
    Ok(())
}

fn mb(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

fn small(turns: u64) -> Result<()> {
    println!(
        "| beside {SMALL_RATE} small messages a second | p50, ms | p99, ms, and of each round | ratio of p50, p99 |"
    );
    println!("| --- | --- | --- | --- |");
    // The same twice tells how far two of one kind differ.
    let cases = [
        ("no stream", 0, u64::MAX),
        ("50 stalled", STREAMS, 1),
        ("no stream again", 0, u64::MAX),
        ("50 at full speed", STREAMS, u64::MAX),
    ];
    // In turns, so that what changes on the machine changes for all; the middle one of each counts.
    let mut rounds: Vec<Vec<(f64, f64, f64)>> = vec![Vec::new(); cases.len()];
    for _ in 0..turns.max(1) {
        for (rows, (what, streams, stop)) in rounds.iter_mut().zip(cases) {
            rows.push(beside(what, streams, stop)?);
        }
    }
    let middle = |rows: &[(f64, f64, f64)], pick: fn(&(f64, f64, f64)) -> f64| {
        let mut all: Vec<f64> = rows.iter().map(pick).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let (base, top) = (middle(&rounds[0], |r| r.0), middle(&rounds[0], |r| r.1));
    for (rows, (what, ..)) in rounds.iter().zip(cases) {
        let (p50, p99, moved) = (middle(rows, |r| r.0), middle(rows, |r| r.1), middle(rows, |r| r.2));
        let each: Vec<_> = rows.iter().map(|r| format!("{:.2}", r.1)).collect();
        println!(
            "| {what} ({moved:.2} GB/s) | {p50:.3} | {p99:.3}: {} | {:.2}, {:.2} |",
            each.join(" "),
            p50 / base,
            p99 / top
        );
    }
    Ok(())
}

/// The small messages' median and 99th percentile in milliseconds, and what the streams moved, in GB/s.
fn beside(what: &str, streams: usize, stop: u64) -> Result<(f64, f64, f64)> {
    let arrivals = Arrivals::default();
    let sink = endpoint(0, stop, arrivals.clone())?;
    let courier = courier(sink, STREAMS as u64)?;
    let (ended, moved) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    for n in 0..streams {
        let (to, ended, moved) = (courier.addr, ended.clone(), moved.clone());
        thread::spawn(move || {
            for round in 0.. {
                if ended.load(Relaxed) {
                    return;
                }
                let text = head(&format!("l{n}-{round}"), n as u64 + 1, GB / 10, 600);
                if send(to, &text, GB / 10).is_ok_and(|status| status.contains(" 200 ")) {
                    moved.fetch_add(GB / 10, Relaxed);
                }
            }
        });
    }
    thread::sleep(Duration::from_secs(2));
    let sent = submit(courier.addr)?;
    ended.store(true, Relaxed);
    thread::sleep(Duration::from_millis(500));
    let arrivals = arrivals.lock().map_err(|_| Error::other("a thread died"))?;
    let taken = |(id, at): (&String, &Instant)| Some(arrivals.get(id)?.saturating_duration_since(*at));
    let mut spans: Vec<f64> =
        sent.iter().filter_map(|(id, at)| taken((id, at))).map(|s| s.as_secs_f64() * 1e3).collect();
    spans.sort_by(f64::total_cmp);
    if spans.len() < sent.len() * 99 / 100 {
        return Err(Error::other(format!("{what}: {} of {} came", spans.len(), sent.len())));
    }
    let (p50, p99) = (spans[spans.len() / 2], spans[spans.len() * 99 / 100]);
    Ok((p50, p99, moved.load(Relaxed) as f64 / 1e9 / (SMALL_SECONDS as f64 + 2.5)))
}

/// Hands in small messages at their rate, on a connection of their own, and returns when each began.
fn submit(to: SocketAddr) -> Result<HashMap<String, Instant>> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let (begun, mut sent) = (Instant::now(), HashMap::new());
    for n in 0..SMALL_RATE * SMALL_SECONDS {
        let due = Duration::from_micros(n * 1_000_000 / SMALL_RATE);
        thread::sleep(due.saturating_sub(begun.elapsed()));
        let (id, at) = (format!("s{n}"), Instant::now());
        let text = head(&id, n % STREAMS as u64 + 1, 3, 16) + "fee";
        stream.write_all(text.as_bytes())?;
        let Some((first, length, _)) = read_head(&mut reader)? else { return Err(Error::other("closed")) };
        std::io::copy(&mut (&mut reader).take(length), &mut std::io::sink())?;
        if !first.contains(" 202 ") {
            return Err(Error::other(first));
        }
        sent.insert(id, at);
    }
    Ok(sent)
}
