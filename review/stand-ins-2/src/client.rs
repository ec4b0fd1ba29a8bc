//! The operator and the clients of batch jobs.

use crate::http::{Message, call};
use crate::json::{Value, base64, quote, with_double_quotes};
use crate::record::Record;
use crate::tier::Tier;
use std::io;
use std::time::{Duration, Instant};

pub const HOST: &str = "a.example";
pub const KEY: &str = "Token i9n73hh2b9wu3fexd9dn";
pub const TENANT: &str = "kaje80";

/// A bulk route and its service.
pub struct BulkRoute<'a> {
    pub name: &'a str,
    pub service: &'a str,
}

/// A configuration with one live route and these routes for batch jobs, with the figures of the small deployment.
pub fn configuration(version: u64, bulk: &[BulkRoute<'_>], accounts: &str) -> String {
    let service = bulk.first().map_or("llm", |route| route.service);
    let mut routes = vec![format!(
        "{{'Name':'live','Host':'{HOST}','PathPrefix':'/live/','Mode':'stream','DeadlineMs':4000,'TargetMs':200,'Prio':0,'Backend':'{service}','Tries':2,'Public':false,'Pinned':true,'Resumable':true,'gap_aim_ms':250}}"
    )];
    let mut services: Vec<String> = Vec::new();
    for route in bulk {
        routes.push(format!(
            "{{'Name':'{0}','Host':'{HOST}','PathPrefix':'/{0}/','Mode':'bulk','DeadlineMs':6000,'TargetMs':400,'Prio':2,'Backend':'{1}','Tries':3,'Public':false,'Pinned':true,'Resumable':true,'gap_aim_ms':250,'DueMs':8000,'RetainS':40}}",
            route.name, route.service
        ));
        services.push(format!(
            "{{'Name':'{}','Probe':'/healthz','MaxConns':190,'Proto':'h1','Tls':false,'Runtime':{{'Capacity':16,'KvCap':232000,'KvTokBytes':327680,'NicMbps':4400000.0,'stride':23,'Models':[{{'Name':'m'}}]}}}}",
            route.service
        ));
    }
    with_double_quotes(&format!(
        "{{'Gen':{version},'Routes':[{}],'Backends':[{}],'Limits':{{'HdrBytes':16384,'BodyBytes':4194304,'HdrMs':3000,'IdleMs':15000}},'Accounts':[{{'Name':'{TENANT}','Apikeys':['i9n73hh2b9wu3fexd9dn'],'Prio':1}}{accounts}]}}",
        routes.join(","),
        services.join(",")
    ))
}

/// Sends an order of the operator until it gets a clear answer or the time is up: at each courier in turn, following 307 up to twice, waiting
/// longer after each failure.
pub fn order(record: &Record, admins: &[String], line: &str, base: u64, body: &str, time_limit: Duration) -> Option<Message> {
    let until = Instant::now() + time_limit;
    let mut wait = Duration::from_millis(50);
    let answer_limit = Duration::from_secs(1) + Duration::from_micros(body.len() as u64 * 2);
    let base = base.to_string();
    for admin in admins.iter().cycle() {
        if Instant::now() >= until {
            return None;
        }
        let mut address = admin.clone();
        for _ in 0..3 {
            let headers = [
                ("Host", "x"),
                ("Base-Version", base.as_str()),
                ("Content-Type", "application/json"),
            ];
            let answered = call(&address, line, &headers, body.as_bytes(), answer_limit);
            match answered {
                Ok(answer) if answer.status() == 307 => {
                    let location = answer.header("Location").unwrap_or_default();
                    address = location
                        .trim_start_matches("http://")
                        .split('/')
                        .next()
                        .unwrap_or_default()
                        .to_owned();
                }
                Ok(answer) => {
                    record.add(format!(
                        "operator {line} base {base} at {address}: {} {}",
                        answer.status(),
                        first_bytes(&answer.text())
                    ));
                    if answer.status() < 500 && ![408, 429].contains(&answer.status()) {
                        return Some(answer);
                    }
                    break;
                }
                Err(error) => {
                    record.add(format!(
                        "operator {line} base {base} at {address}: no answer, {}",
                        error.kind()
                    ));
                    break;
                }
            }
        }
        std::thread::sleep(wait.min(until.saturating_duration_since(Instant::now())));
        wait = (wait * 2).min(Duration::from_secs(1));
    }
    None
}

fn first_bytes(text: &str) -> String {
    text.chars().take(120).collect()
}

/// Waits until couriers answer 200 at their readiness check; how many do.
pub fn wait_until_ready(tier: &Tier, couriers: usize, time_limit: Duration) -> usize {
    let until = Instant::now() + time_limit;
    loop {
        let is_ready = |courier: &usize| {
            let answer = call(
                &tier.ready_address(*courier),
                "GET /-/ready",
                &[("Host", "x")],
                b"",
                Duration::from_millis(500),
            );
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        let ready = (0..couriers).filter(is_ready).count();
        if ready == couriers || Instant::now() >= until {
            return ready;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// An item of a batch job.
#[derive(Clone)]
pub struct Item {
    pub id: String,
    pub path: String,
    pub tokens_out: u64,
    pub body: Vec<u8>,
    /// Headers beside those that each request for tokens has.
    pub headers: Vec<(String, String)>,
}

/// A batch job of a client.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub route: String,
    pub items: Vec<Item>,
}

impl Job {
    /// A job whose items all have as many tokens out.
    pub fn new(id: &str, route: &str, items: usize, tokens_out: u64) -> Job {
        let item = |number: usize| Item {
            id: format!("{id}{number:04x}"),
            path: format!("/{route}/3/91c4"),
            tokens_out,
            body: format!("prompt {number} of {id}").repeat(20).into_bytes(),
            headers: Vec::new(),
        };
        Job {
            id: id.to_owned(),
            route: route.to_owned(),
            items: (0..items).map(item).collect(),
        }
    }

    pub fn body(&self) -> String {
        let items: Vec<String> = self
            .items
            .iter()
            .map(|item| {
                format!(
                    "{{'Id':{},'Path':{},'Headers':{{'Model':'m','Token-Count':'540,{}','Prompt-Prefix':'9c2e41:300,5d07b8:240'{}}},'Body':'{}','Tokens':{}}}",
                    quote(&item.id),
                    quote(&item.path),
                    item.tokens_out,
                    item.headers.iter().map(|(name, value)| format!(",{}:{}", quote(name), quote(value))).collect::<String>(),
                    base64(&item.body),
                    540 + item.tokens_out
                )
            })
            .collect();
        with_double_quotes(&format!("{{'Requests':[{}]}}", items.join(",")))
    }
}

/// Submits a job once; the status, `None` without an answer.
pub fn submit_once(record: &Record, address: &str, job: &Job, time_limit: Duration) -> Option<u16> {
    let headers = [
        ("Host", HOST),
        ("Authorization", KEY),
        ("Request-Id", job.id.as_str()),
        ("Content-Type", "application/json"),
    ];
    let answer = call(
        address,
        &format!("POST /{}/7c41e0", job.route),
        &headers,
        job.body().as_bytes(),
        time_limit,
    );
    let status = answer.as_ref().ok().map(Message::status);
    record.add(format!(
        "client submits {} ({} items) at {address}: {status:?}",
        job.id,
        job.items.len()
    ));
    status
}

/// Submits a job until it is taken, at one courier after the other; whether it was.
pub fn submit(record: &Record, tier: &Tier, couriers: usize, job: &Job, time_limit: Duration) -> bool {
    let until = Instant::now() + time_limit;
    let mut courier = job.id.bytes().map(usize::from).sum::<usize>();
    while Instant::now() < until {
        if submit_once(record, &tier.client_address(courier % couriers), job, Duration::from_secs(2)) == Some(202) {
            return true;
        }
        courier += 1;
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}

/// One result as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub id: String,
    pub phase: String,
    pub text: String,
}

/// What a read brought.
pub enum Read {
    Results { total: usize, outcomes: Vec<Outcome> },
    Status(u16),
    Silence(io::ErrorKind),
}

/// Reads the results of a job from a position on; may be answered late, when there are some.
pub fn read_once(address: &str, job: &str, start: usize) -> Read {
    read_with(address, job, start, "1000")
}

/// Reads the results of a job that there are.
pub fn read_now(address: &str, job: &str, start: usize) -> Read {
    read_with(address, job, start, "0")
}

fn read_with(address: &str, job: &str, start: usize, wait: &str) -> Read {
    let headers = [("Host", HOST), ("Authorization", KEY), ("Wait", wait)];
    let line = format!("GET /-/lots/{job}?StartAfter={start}");
    let answer = match call(address, &line, &headers, b"", Duration::from_millis(2500)) {
        Ok(answer) => answer,
        Err(error) => return Read::Silence(error.kind()),
    };
    let Some(body) = (answer.status() == 200).then(|| Value::parse(&answer.text())).flatten() else {
        return Read::Status(answer.status());
    };
    let field = |outcome: &Value, name: &str| outcome.get(name).and_then(Value::text).unwrap_or_default().to_owned();
    let outcome = |outcome: &Value| Outcome {
        id: field(outcome, "Id"),
        phase: field(outcome, "Phase"),
        text: field(outcome, "Text"),
    };
    let total = body.get("Total").and_then(Value::number).unwrap_or(0.0) as usize;
    Read::Results {
        total,
        outcomes: body
            .get("Outputs")
            .map(Value::list)
            .unwrap_or_default()
            .iter()
            .map(outcome)
            .collect(),
    }
}

/// Reads a job from the start until all items are listed or the time is up. The outcomes so far, and what the last failed read brought.
pub fn read_all(
    record: &Record,
    tier: &Tier,
    couriers: usize,
    job: &Job,
    time_limit: Duration,
) -> (Vec<Outcome>, Option<String>) {
    let until = Instant::now() + time_limit;
    let mut outcomes = Vec::new();
    let mut failure = None;
    for courier in (0..couriers).cycle() {
        match read_once(&tier.client_address(courier), &job.id, outcomes.len()) {
            Read::Results { outcomes: more, .. } => {
                failure = None;
                outcomes.extend(more);
            }
            Read::Status(status) => failure = Some(format!("status {status}")),
            Read::Silence(kind) => failure = Some(format!("no answer, {kind}")),
        }
        if outcomes.len() >= job.items.len() || Instant::now() >= until {
            break;
        }
        if failure.is_some() {
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    record.add(format!(
        "client read {}: {} of {} results, last failure {failure:?}",
        job.id,
        outcomes.len(),
        job.items.len()
    ));
    (outcomes, failure)
}

/// How many items of a job are listed now: reads from the start until a read brings nothing more.
pub fn read_listed(record: &Record, tier: &Tier, couriers: usize, job: &Job) -> usize {
    let mut count = 0;
    let mut failures = 0;
    let mut courier = 0;
    while failures < 8 {
        match read_now(&tier.client_address(courier % couriers), &job.id, count) {
            Read::Results { outcomes, total } => {
                count += outcomes.len();
                if outcomes.is_empty() || count >= total {
                    return count;
                }
            }
            Read::Status(status) => record.add(format!("client reads {}: status {status}", job.id)),
            Read::Silence(kind) => record.add(format!("client reads {}: no answer, {kind}", job.id)),
        }
        failures += 1;
        courier += 1;
    }
    count
}
