//! A server: answers each request after a time with a signed body that ends with the request's id, turns away requests
//! for another instance, and records what it runs. It is sound unless it is told to spoil answers.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Head, read_body, read_head};

/// An answer that says that a request was not executed. It names no request.
const NOT_EXECUTED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Sablehaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// The head of an interim response.
const SWITCHING_PROTOCOLS: &[u8] = b"HTTP/1.1 101 Switching Protocols\r\n\r\n";

/// A request that the server ran.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

/// What a faulty server does with some of its answers.
#[derive(Clone, Copy)]
pub enum Spoiling {
    /// After the answer, when the next request of the connection has arrived, it sends the answer once more, without
    /// the request id.
    CopyWithoutId,
    /// After the answer, when the next request of the connection has arrived, it sends an answer that says that a
    /// request was not executed, without a request id.
    NotExecuted,
    /// Instead of the answer, it sends the head of an interim response that nobody asked for.
    SwitchingProtocols,
}

/// A running server; cheap to clone.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    body: Vec<u8>,
    work: Duration,
    runs: Mutex<Vec<Run>>,
    has_ended: AtomicBool,
    stamps: AtomicU64,
    /// What it does with one in so many answers.
    spoiling: Mutex<Option<(Spoiling, u64)>>,
    spoiled: AtomicU64,
}

impl Server {
    pub fn start(id: &str, body: Vec<u8>, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address"),
            shared: Arc::new(Shared {
                body,
                work,
                runs: Mutex::default(),
                has_ended: AtomicBool::new(false),
                stamps: AtomicU64::new(0),
                spoiling: Mutex::default(),
                spoiled: AtomicU64::new(0),
            }),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended() {
                    return;
                }
                let server = serving.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("runs").clone()
    }

    /// Ends the server: it answers nothing more, closes its connections and accepts no others.
    pub fn end(&self) {
        self.shared.has_ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Starts or stops to spoil one in so many answers.
    pub fn set_spoiling(&self, spoiling: Option<(Spoiling, u64)>) {
        *self.shared.spoiling.lock().expect("spoiling") = spoiling;
    }

    /// How many answers it has spoiled.
    pub fn spoiled(&self) -> u64 {
        self.shared.spoiled.load(Ordering::SeqCst)
    }

    fn has_ended(&self) -> bool {
        self.shared.has_ended.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("stream");
        let mut reader = BufReader::new(stream);
        let mut late_bytes = Vec::new();
        while let Some(head) = read_head(&mut reader) {
            if read_body(&mut reader, head.content_length()).is_none() || self.has_ended() {
                return;
            }
            if !late_bytes.is_empty() {
                self.shared.spoiled.fetch_add(1, Ordering::SeqCst);
                if writer.write_all(&std::mem::take(&mut late_bytes)).is_err() {
                    return;
                }
            }
            let mut answer = self.answer(&head);
            if self.has_ended() {
                return;
            }
            match self.spoiling_now() {
                None => {}
                Some(Spoiling::CopyWithoutId) => late_bytes = without_id(&answer),
                Some(Spoiling::NotExecuted) => late_bytes = NOT_EXECUTED.to_vec(),
                Some(Spoiling::SwitchingProtocols) => {
                    self.shared.spoiled.fetch_add(1, Ordering::SeqCst);
                    answer = SWITCHING_PROTOCOLS.to_vec();
                }
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// What the server does with its latest answer; mostly nothing.
    fn spoiling_now(&self) -> Option<Spoiling> {
        let spoiling = *self.shared.spoiling.lock().expect("spoiling");
        let (spoiling, interval) = spoiling?;
        let count = self.shared.stamps.load(Ordering::SeqCst);
        count.is_multiple_of(interval).then_some(spoiling)
    }

    fn answer(&self, head: &Head) -> Vec<u8> {
        if head.target() == "/health" {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Sablehaven-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return answer.into_bytes();
        }
        let expected = head.header("x-sablehaven-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return b"HTTP/1.1 421 Misdirected Request\r\nX-Sablehaven-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_vec();
        }
        let id = head.header("x-sablehaven-request-id").unwrap_or_default();
        let run = Run {
            id: id.to_owned(),
            at: Instant::now(),
        };
        self.shared.runs.lock().expect("runs").push(run);
        thread::sleep(self.shared.work);
        let number = self.shared.stamps.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Sablehaven-Request-Id: {id}\r\nX-Sablehaven-Server-Stamp: {}.{number}\r\n\
             Content-Length: {}\r\n\r\n",
            self.id,
            self.shared.body.len() + id.len()
        );
        let mut answer = head.into_bytes();
        answer.extend_from_slice(&self.shared.body);
        answer.extend_from_slice(id.as_bytes());
        answer
    }
}

/// The bytes of an answer without the header with the request id.
fn without_id(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    let lines = text.split_inclusive("\r\n");
    let kept = lines.filter(|line| !line.starts_with("X-Sablehaven-Request-Id"));
    kept.collect::<String>().into_bytes()
}
