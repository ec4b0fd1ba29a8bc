//! Batch jobs on a route that a change of the configuration has just added.

use crate::Verdict;
use crate::http::{self, answer, call, read_message};
use crate::record::Record;
use crate::tier::{KEY, Tier, serve_platform};
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 9;
const CAPACITY: usize = 48;
/// Couriers, of which three have a disk.
const COURIERS: usize = 21;
/// Links of a grown deployment, megabits per second.
const LINK_MBPS: f64 = 100.0;
/// Tenants, and keys of each.
const TENANTS: usize = 8;
const KEYS: usize = 3_000;
/// Changes of the configuration, each of which adds a batch route and replaces keys.
const CHANGES: usize = 3;
/// Jobs after each change, and the time between two of them.
const JOBS: usize = 27;
const JOB_INTERVAL: Duration = Duration::from_millis(110);
const ITEMS: usize = 2;
/// Time without a change before each one.
const CALM: Duration = Duration::from_secs(4);
const READ_TIME: Duration = Duration::from_secs(15);

pub fn play(folder: &Path, has_fault: bool, record: &Record) -> Verdict {
    let mut tier = Tier::new(folder, record);
    tier.link_mbps = LINK_MBPS;
    serve_platform(&tier, ENDPOINTS, CAPACITY);
    let runs: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    for number in 0..ENDPOINTS {
        serve_endpoint(&tier, number, &runs, record);
    }
    tier.start(COURIERS);
    if !put(&tier, 0, &configuration(1, if has_fault { 0 } else { CHANGES }), record) {
        return Verdict::NotRun;
    }
    let mut accepted = Vec::new();
    for change in 1..=CHANGES {
        std::thread::sleep(CALM);
        let version = 1 + 2 * change as u64;
        if has_fault && !put(&tier, version - 2, &configuration(version, change), record) {
            return Verdict::NotRun;
        }
        accepted.extend(submit_jobs(&tier, change, record));
    }
    record.print(&format!("{} of {} batch jobs were accepted", accepted.len(), CHANGES * JOBS));
    if accepted.is_empty() {
        return Verdict::NotRun;
    }
    let mut given_up = 0;
    for job in &accepted {
        let text = read(&tier, job, record);
        let dead = text.matches("\"Phase\":\"dead_letter\"").count();
        let runs = runs.lock().unwrap();
        let ran = (0..ITEMS).filter(|item| runs.contains(&item_id(job, *item))).count();
        record.add(&format!("{job}: {dead} of {ITEMS} items given up, {ran} ran at an endpoint"));
        given_up += dead;
    }
    record
        .print(&format!("{given_up} items of accepted jobs were given up; no endpoint answered 422 or 500"));
    if given_up > 0 { Verdict::Broken } else { Verdict::Held }
}

fn put(tier: &Tier, base: u64, body: &str, record: &Record) -> bool {
    let status = tier
        .order("POST", "/-/config/put", base, body, Duration::from_secs(20))
        .map(|answer| answer.status());
    record.print(&format!("a configuration of {} bytes: {status:?}", body.len()));
    status == Some(200)
}

/// A configuration with this number of batch routes. All keys but the client's differ between versions.
fn configuration(version: u64, batch_routes: usize) -> String {
    let tenant = |tenant: usize| {
        let own = if tenant == 0 { format!("\"{KEY}\",") } else { String::new() };
        let keys: Vec<String> =
            (0..KEYS).map(|key| format!("\"{:020x}\"", scramble(version, tenant, key))).collect();
        format!(r#"{{"Name":"t{tenant}","Apikeys":[{own}{}],"Prio":1}}"#, keys.join(","))
    };
    let tenants: Vec<String> = (0..TENANTS).map(tenant).collect();
    let live = include_str!("route_live.json");
    let batch_route = |number: usize| {
        let route = include_str!("route_batch.json");
        route.replace("r-bulk", &format!("r-bulk{number}")).replace("/pule252/", &prefix(number))
    };
    let batch: String = (1..=batch_routes).map(batch_route).collect();
    let services = r#"[{"Name":"devis-llm","Probe":"/healthz","MaxConns":330,"Proto":"h1","Tls":false}]"#;
    let limits = r#"{"HdrBytes":16384,"BodyBytes":4194304,"HdrMs":3000,"IdleMs":15000}"#;
    let tenants = tenants.join(",");
    format!(
        r#"{{"Gen":{version},"Routes":[{live}{batch}],"Backends":{services},"Limits":{limits},"Accounts":[{tenants}]}}"#
    )
}

/// Prefix of a batch route.
fn prefix(route: usize) -> String {
    format!("/pule25{route}/")
}

fn scramble(version: u64, tenant: usize, key: usize) -> u64 {
    let number = version << 40 | (tenant as u64) << 32 | key as u64;
    let mixed = (number ^ number >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ mixed >> 32).wrapping_mul(0x94d0_49bb_1331_11eb)
}

fn item_id(job: &str, item: usize) -> String {
    format!("{}{item:04x}", &job[..12])
}

/// Submits jobs of a route, each at one courier after the other until it is accepted or refused for good; returns the accepted ones.
fn submit_jobs(tier: &Tier, route: usize, record: &Record) -> Vec<String> {
    let mut clients = Vec::new();
    for number in 0..JOBS {
        let job = format!("{:012x}beef", 0x5ca1_ab1e + (route * JOBS + number) * 7919);
        let addresses: Vec<String> =
            (0..COURIERS).map(|courier| tier.client_address((number + courier) % COURIERS)).collect();
        let record = record.clone();
        clients.push(std::thread::spawn(move || submit(&job, route, &addresses, &record).then_some(job)));
        std::thread::sleep(JOB_INTERVAL);
    }
    clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect()
}

fn submit(job: &str, route: usize, addresses: &[String], record: &Record) -> bool {
    let headers = format!(
        "Host: nony24.example\r\nAuthorization: Token {KEY}\r\nRequest-Id: {job}\r\nContent-Type: application/json\r\n"
    );
    let item = |item: usize| {
        format!(
            r#"{{"Id":"{}","Path":"{}{item}/91c4","Headers":{{"Model":"m","Token-Count":"540,400","Prompt-Prefix":"9c2e41:300,{item}d07b8:240"}},"Body":"q83vEjRWeJA=","Tokens":940}}"#,
            item_id(job, item),
            prefix(route)
        )
    };
    let items: Vec<String> = (0..ITEMS).map(item).collect();
    let body = format!(r#"{{"Requests":[{}]}}"#, items.join(","));
    for address in addresses {
        let status = call(address, "POST", &format!("{}7c41e0", prefix(route)), &headers, body.as_bytes())
            .map(|answer| answer.status());
        record.add(&format!("batch job {job}: {status:?}"));
        match status {
            Some(202) => return true,
            // Clients do not send again after these.
            Some(400 | 401 | 404) => return false,
            _ => std::thread::sleep(Duration::from_millis(200)),
        }
    }
    false
}

/// Reads the results of a job from the start until all are there or the time is over.
fn read(tier: &Tier, job: &str, record: &Record) -> String {
    let until = Instant::now() + READ_TIME;
    let headers = format!("Host: nony24.example\r\nAuthorization: Token {KEY}\r\nWait: 500\r\n");
    let mut text = String::new();
    let mut courier = 0;
    while Instant::now() < until && !text.contains(&format!("\"NextCursor\":{ITEMS},")) {
        let read = call(
            &tier.client_address(courier % COURIERS),
            "GET",
            &format!("/-/lots/{job}?StartAfter=0"),
            &headers,
            b"",
        );
        text = read.filter(|read| read.status() == 200).map(|read| read.text()).unwrap_or_default();
        courier += 1;
    }
    record.add(&format!("results of {job}: {text}"));
    text
}

fn serve_endpoint(tier: &Tier, number: usize, runs: &Arc<Mutex<BTreeSet<String>>>, record: &Record) {
    let (runs, record) = (runs.clone(), record.clone());
    http::serve(&tier.endpoint(number), move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let id = request.header("Request-Id").unwrap_or_default().to_owned();
            record.add(&format!("i-{number} runs {id}"));
            let head =
                format!("Request-Id: {id}\r\nSeal: {number}.{id}\r\nContent-Type: text/event-stream\r\n");
            runs.lock().unwrap().insert(id);
            if writer.write_all(&answer("200 OK", &head, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n")).is_err()
            {
                return;
            }
        }
    });
}
