//! Stand-ins of the platform: its list of servers, and the servers.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{http, record::Record};

/// The list of servers, answered on one page.
#[derive(Clone)]
pub struct List {
    pub address: SocketAddr,
    entries: Arc<Mutex<Vec<String>>>,
}

impl List {
    /// Adds an entry as another writer wrote it.
    pub fn add_entry(&self, entry: &str) {
        self.entries.lock().unwrap().push(entry.to_owned());
    }

    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("address of the list");
        let list = Self {
            address: listener.local_addr().expect("address"),
            entries: Arc::default(),
        };
        let entries = Arc::clone(&list.entries);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let entries = Arc::clone(&entries);
                thread::spawn(move || serve_list(stream, &entries));
            }
        });
        list
    }
}

fn serve_list(stream: TcpStream, entries: &Mutex<Vec<String>>) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        http::read_message(&mut reader).ok()??;
        let entries = entries.lock().unwrap().join(",");
        let body = format!("{{\"instances\":[{entries}],\"next_token\":null}}");
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

/// What a server does with a request: it works for a time and answers with a body.
#[derive(Clone)]
pub struct Work {
    pub duration: Duration,
    pub body: Vec<u8>,
}

/// What a server ran.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    pub request: String,
    /// Seconds since the start of the run of the case.
    pub began: f64,
    pub ended: Option<f64>,
}

/// A server of a service. It runs each request to its end, also when the connection closes meanwhile, as some do.
pub struct Server {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    pub fn start(
        list: &List,
        service: &str,
        number: usize,
        zone: &str,
        work: Work,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("address of a server");
        let address = listener.local_addr().expect("address");
        let id = format!("i-{service}-{number}");
        let entry = format!(
            "{{\"id\":\"{id}\",\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"warmup_left_ms\":0}}"
        );
        list.entries.lock().unwrap().push(entry);
        let server = Self {
            runs: Arc::default(),
        };
        let runs = Arc::clone(&server.runs);
        let record = record.clone();
        let stamps = Arc::new(AtomicU64::new(0));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handler = Handler {
                    id: id.clone(),
                    work: work.clone(),
                    runs: Arc::clone(&runs),
                    stamps: Arc::clone(&stamps),
                    record: record.clone(),
                };
                thread::spawn(move || handler.serve(stream));
            }
        });
        server
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

struct Handler {
    id: String,
    work: Work,
    runs: Arc<Mutex<Vec<Run>>>,
    stamps: Arc<AtomicU64>,
    record: Record,
}

impl Handler {
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read_message(&mut reader).ok()??;
            let answer = self.answer(&request);
            let id = request.header("x-sablehaven-request-id").unwrap_or("none");
            if writer.write_all(&answer).is_err() {
                self.record.add(format!(
                    "server {} cannot send its answer to {id}: the connection is closed",
                    self.id
                ));
                return None;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> Vec<u8> {
        let id = request.header("x-sablehaven-request-id").unwrap_or("none");
        let instance = format!("X-Sablehaven-Instance-Id: {}\r\n", self.id);
        if request.first_line.starts_with("GET /health ") {
            return format!("HTTP/1.1 200 OK\r\n{instance}Content-Length: 0\r\n\r\n").into_bytes();
        }
        let echo = format!("X-Sablehaven-Request-Id: {id}\r\n");
        let expected = request.header("x-sablehaven-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let not_run = "X-Sablehaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return format!("HTTP/1.1 421 Misdirected\r\n{echo}{not_run}").into_bytes();
        }
        let position = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                request: id.to_owned(),
                began: self.record.now(),
                ended: None,
            });
            runs.len() - 1
        };
        let deadline = request.header("x-sablehaven-deadline-ms").unwrap_or("none");
        self.record.add(format!(
            "server {} runs {id}, {} bytes of body, deadline {deadline} ms",
            self.id,
            request.body.len()
        ));
        thread::sleep(self.work.duration);
        self.runs.lock().unwrap()[position].ended = Some(self.record.now());
        self.record
            .add(format!("server {} has run {id} and answers 200", self.id));
        let stamp = self.stamps.fetch_add(1, Ordering::SeqCst);
        let stamp = format!("X-Sablehaven-Server-Stamp: {}.{stamp}\r\n", self.id);
        let length = format!("Content-Length: {}\r\n\r\n", self.work.body.len());
        let mut answer = format!("HTTP/1.1 200 OK\r\n{echo}{stamp}{length}").into_bytes();
        answer.extend_from_slice(&self.work.body);
        answer
    }
}
