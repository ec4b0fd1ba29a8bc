//! The platform: the list of endpoints, and calls of singleton duties, which it accepts.

use crate::endpoint::Endpoint;
use crate::http::{Message, Next, respond, serve};
use crate::json::with_double_quotes;
use crate::record::Record;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
pub struct Platform {
    pub endpoints: Arc<Mutex<Vec<Endpoint>>>,
}

impl Platform {
    pub fn start(address: &str, record: Record) -> std::io::Result<Platform> {
        let platform = Platform::default();
        let answering = platform.clone();
        let handler = move |stream: &TcpStream, request: &Message| {
            let body = if request.target().starts_with("/endpoints") {
                answering.list()
            } else {
                String::new()
            };
            if request.method() == "POST" {
                record.add(format!("platform {} {}", request.line, request.text()));
            }
            let _ = respond(
                stream,
                "200 OK",
                "Content-Type: application/json\r\nConnection: close\r\n",
                body.as_bytes(),
            );
            Next::Close
        };
        serve(address, Arc::default(), Arc::new(handler))?;
        Ok(platform)
    }

    fn list(&self) -> String {
        let endpoints = self.endpoints.lock().unwrap();
        let listed = endpoints.iter().filter(|endpoint| !endpoint.unlisted.load(Ordering::Relaxed));
        let entries: Vec<String> = listed
            .map(|endpoint| {
                format!(
                    "{{'Backend':'{}','Address':'{}','Az':'{}','Gen':'v1','Capacity':{},'Phase':'up','ColdLeftMs':0,'PipeStage':'both','Models':[{{'Name':'m','Gen':1,'Loras':[]}}],'Id':'{}'}}",
                    endpoint.service, endpoint.address, endpoint.zone, endpoint.capacity, endpoint.id
                )
            })
            .collect();
        with_double_quotes(&format!("{{'Endpoints':[{}],'NextCursor':null}}", entries.join(",")))
    }
}
