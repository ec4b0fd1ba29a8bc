//! The time of small messages while streams go through the same courier.

use crate::courier;
use crate::endpoint::{self, Arrivals, Reading};
use crate::http::{GB, read_head, request_head, send_body};
use std::collections::HashMap;
use std::io::{BufReader, Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// Small messages a second, and for how long.
const RATE: u64 = 500;
const SECONDS: u64 = 10;
/// Streams at once, where there are any.
const STREAMS: usize = 50;
/// The body of each stream, in bytes.
const STREAM_LENGTH: u64 = GB / 10;
/// The streams get so much time before the first small message, and after the last one.
const BEFORE: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_millis(500);

/// What goes on beside the small messages.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    streams: usize,
    reading: Reading,
}

/// The result of one round of a case.
struct Round {
    /// Of the times from the submission to the arrival at the endpoint, in milliseconds.
    median_ms: f64,
    percentile_99_ms: f64,
    /// What the streams moved.
    gb_per_second: f64,
}

pub fn measure(rounds: u64) -> Result<()> {
    println!(
        "| beside {RATE} small messages a second | p50, ms | p99, ms, and of each round | ratio of p50, p99 |"
    );
    println!("| --- | --- | --- | --- |");
    // The same twice shows how far two of one kind differ.
    let stalled = Reading { rate: None, stops_after: Some(1) };
    let cases = [
        Case { name: "no stream", streams: 0, reading: Reading::FULL_SPEED },
        Case { name: "50 stalled", streams: STREAMS, reading: stalled },
        Case { name: "no stream again", streams: 0, reading: Reading::FULL_SPEED },
        Case { name: "50 at full speed", streams: STREAMS, reading: Reading::FULL_SPEED },
    ];
    // In turns, so that what changes on the machine changes for all.
    let mut results: Vec<Vec<Round>> = cases.iter().map(|_| Vec::new()).collect();
    for _ in 0..rounds.max(1) {
        for (result, case) in results.iter_mut().zip(cases) {
            result.push(run_round(case)?);
        }
    }
    for (case, result) in cases.iter().zip(&results) {
        print_case(case, result, &results[0]);
    }
    Ok(())
}

/// The middle one of the rounds counts; it is compared with that of the first case.
fn print_case(case: &Case, rounds: &[Round], base: &[Round]) {
    let median_ms = middle(rounds, |round| round.median_ms);
    let percentile_99_ms = middle(rounds, |round| round.percentile_99_ms);
    let gb_per_second = middle(rounds, |round| round.gb_per_second);
    let each: Vec<String> = rounds.iter().map(|round| format!("{:.2}", round.percentile_99_ms)).collect();
    println!(
        "| {} ({gb_per_second:.2} GB/s) | {median_ms:.3} | {percentile_99_ms:.3}: {} | {:.2}, {:.2} |",
        case.name,
        each.join(" "),
        median_ms / middle(base, |round| round.median_ms),
        percentile_99_ms / middle(base, |round| round.percentile_99_ms)
    );
}

fn middle(rounds: &[Round], value: fn(&Round) -> f64) -> f64 {
    let mut values: Vec<f64> = rounds.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn run_round(case: Case) -> Result<Round> {
    let arrivals = Arrivals::default();
    let endpoint = endpoint::start(case.reading, arrivals.clone())?;
    let courier = courier::start(endpoint, STREAMS as u64)?;
    let streams = Streams::start(courier.addr, case.streams);
    thread::sleep(BEFORE);
    let submitted = submit_messages(courier.addr)?;
    streams.stop.store(true, Relaxed);
    thread::sleep(AFTER);
    let arrivals = arrivals.lock().map_err(|_| Error::other("a thread died"))?;
    let duration = |(id, submitted_at): (&String, &Instant)| {
        Some(arrivals.get(id)?.saturating_duration_since(*submitted_at))
    };
    let mut times: Vec<f64> =
        submitted.iter().filter_map(duration).map(|duration| duration.as_secs_f64() * 1e3).collect();
    times.sort_by(f64::total_cmp);
    if times.len() < submitted.len() * 99 / 100 {
        return Err(Error::other(format!("{}: {} of {} came", case.name, times.len(), submitted.len())));
    }
    let seconds = BEFORE.as_secs_f64() + SECONDS as f64 + AFTER.as_secs_f64();
    Ok(Round {
        median_ms: times[times.len() / 2],
        percentile_99_ms: times[times.len() * 99 / 100],
        gb_per_second: streams.sent.load(Relaxed) as f64 / 1e9 / seconds,
    })
}

/// Streams that go on until they are stopped.
struct Streams {
    stop: Arc<AtomicBool>,
    /// Bytes of the bodies that were delivered.
    sent: Arc<AtomicU64>,
}

impl Streams {
    /// Starts a thread for each stream, which sends one body after the other to a destination of its own.
    fn start(to: SocketAddr, count: usize) -> Streams {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        for number in 0..count {
            let (stop, sent) = (stop.clone(), sent.clone());
            thread::spawn(move || {
                for round in 0.. {
                    if stop.load(Relaxed) {
                        return;
                    }
                    let id = format!("l{number}-{round}");
                    let head = request_head(&id, number as u64 + 1, STREAM_LENGTH, 600);
                    if send_body(to, &head, STREAM_LENGTH).is_ok_and(|status| status.contains(" 200 ")) {
                        sent.fetch_add(STREAM_LENGTH, Relaxed);
                    }
                }
            });
        }
        Streams { stop, sent }
    }
}

/// Submits small messages at their rate, on a connection of their own. Returns when each was submitted, by its id.
fn submit_messages(to: SocketAddr) -> Result<HashMap<String, Instant>> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let started = Instant::now();
    let mut submitted = HashMap::new();
    for number in 0..RATE * SECONDS {
        let due = Duration::from_micros(number * 1_000_000 / RATE);
        thread::sleep(due.saturating_sub(started.elapsed()));
        let id = format!("s{number}");
        let submitted_at = Instant::now();
        let request = request_head(&id, number % STREAMS as u64 + 1, 3, 16) + "fee";
        stream.write_all(request.as_bytes())?;
        let Some(head) = read_head(&mut reader)? else { return Err(Error::other("closed")) };
        std::io::copy(&mut (&mut reader).take(head.length), &mut std::io::sink())?;
        if !head.first_line.contains(" 202 ") {
            return Err(Error::other(head.first_line));
        }
        submitted.insert(id, submitted_at);
    }
    Ok(submitted)
}
