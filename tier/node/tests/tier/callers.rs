//! Calls of operators and of the clients of the only tenant.

use crate::harness::{Tier, eventually};
use crate::http::{Answer, header, http};

/// A key of the only tenant.
pub const KEY: &str = "Token key-of-kaje";

/// Sends an order to any courier, following redirects as callers do.
pub fn order(tier: &Tier, path: &str, base: u64, body: &str) -> Option<u16> {
    let admins: Vec<String> = tier.couriers().into_iter().map(|courier| tier.admin(courier)).collect();
    order_at(&admins, path, base, body)
}

/// The same at any of these addresses.
pub fn order_at(admins: &[String], path: &str, base: u64, body: &str) -> Option<u16> {
    for admin in admins {
        let mut address = admin.clone();
        for _ in 0..3 {
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: x\r\nBase-Version: {base}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            let Some(answer) = http(&address, &request) else { break };
            match answer.status {
                307 => {
                    let location = header(&answer.head, "Location")?;
                    address = location.trim_start_matches("http://").split('/').next()?.to_owned();
                }
                503 => break,
                status => return Some(status),
            }
        }
    }
    None
}

/// Sends a call with the key of the only tenant and these further headers, each with its line end.
pub fn call_with_key(address: &str, line: &str, headers: &str, body: &str) -> Option<Answer> {
    let request = format!(
        "{line} HTTP/1.1\r\nHost: a.example\r\nAuthorization: {KEY}\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    http(address, &request)
}

/// Sends a request to a courier, with an id that is its path.
pub fn live(tier: &Tier, courier: usize, path: &str, key: &str) -> Option<Answer> {
    send_request(tier, courier, path, key, 4000)
}

/// Sends a request to a courier, with an id that is its path, and a deadline in ms.
pub fn send_request(tier: &Tier, courier: usize, path: &str, key: &str, deadline: u32) -> Option<Answer> {
    send_request_to(&tier.client_address(courier), path, key, deadline)
}

/// The same at the address of a courier.
pub fn send_request_to(address: &str, path: &str, key: &str, deadline: u32) -> Option<Answer> {
    let body = "prompt";
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-{path}\r\nDeadline: {deadline}\r\nAuthorization: {key}\r\nTenant: forged\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    http(address, &request)
}

/// Submits a batch job under a path prefix. Each item is a JSON object.
pub fn submit_job(address: &str, prefix: &str, job: &str, items: &[String]) -> Option<Answer> {
    let id = format!("Request-Id: {job}\r\n");
    let body = format!(r#"{{"Requests":[{}]}}"#, items.join(","));
    call_with_key(address, &format!("POST {prefix}"), &id, &body)
}

/// An item of a batch job without headers, as JSON.
pub fn plain_item(id: &str, path: &str) -> String {
    format!(r#"{{"Id":"{id}","Path":"{path}","Headers":{{}},"Body":"cXVpbGw=","Tokens":5}}"#)
}

/// The results of a batch job as a text, once a store can be asked.
pub fn read_results(address: &str, job: &str) -> String {
    let line = format!("GET /-/lots/{job}?StartAfter=0");
    let read = || call_with_key(address, &line, "", "").filter(|answer| answer.status == 200);
    eventually("the results are read", read).body
}

/// Number of items of a batch job that are listed as done; 0 if it can't be read.
pub fn done_items(address: &str, job: &str) -> usize {
    let answer = call_with_key(address, &format!("GET /-/lots/{job}?StartAfter=0"), "", "");
    let page = answer.filter(|answer| answer.status == 200);
    page.map_or(0, |page| page.body.matches(r#""Phase":"done""#).count())
}
