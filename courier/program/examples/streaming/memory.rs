//! The courier's memory while many streams go to slow readers.

use crate::courier;
use crate::endpoint::{self, Arrivals, Reading};
use crate::http::{GB, request_head, send_body};
use std::io::Result;
use std::thread;
use std::time::Duration;

/// Bytes a second of each reader.
const READER_RATE: u64 = 50_000;
/// Rows of the table.
const SAMPLES: u64 = 10;

pub fn measure(streams: u64, seconds: u64) -> Result<()> {
    let reading = Reading { rate: Some(READER_RATE), stops_after: None };
    let endpoint = endpoint::start(reading, Arrivals::default())?;
    let courier = courier::start(endpoint, streams)?;
    let idle = courier.memory().0;
    for number in 1..=streams {
        let addr = courier.addr;
        let head = request_head(&format!("m{number}"), number, 2 * GB, 3_500);
        // It ends with the courier.
        thread::spawn(move || send_body(addr, &head, 2 * GB));
    }
    println!(
        "{streams} streams of 2 GB against readers of 50 kB/s, {seconds} s; MB resident, {:.1} before",
        megabytes(idle)
    );
    println!("| second | now | at most so far |\n| --- | --- | --- |");
    let interval = (seconds / SAMPLES).max(1);
    for sample in 1..=seconds / interval {
        thread::sleep(Duration::from_secs(interval));
        let (now, most) = courier.memory();
        println!("| {} | {:.1} | {:.1} |", sample * interval, megabytes(now), megabytes(most));
    }
    Ok(())
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}
