//! A stand-in server.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinHandle,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use super::{
    behaviour::{Behaviour, EndlessPart},
    message::{SeenRequest, read_request},
};

/// How often the bytes of an endless answer are repeated in one write.
const ENDLESS_REPEATS: usize = 64;

/// What the headers are called.
#[derive(Clone, Copy, Debug)]
pub struct RoutedNames {
    /// The request's id, echoed.
    pub request_id: &'static str,
    /// The signature.
    pub stamp: &'static str,
    /// The word that a request was not executed.
    pub not_executed: &'static str,
    /// The start of the server that answers.
    pub instance: &'static str,
}

/// A stand-in server that listens on a port of the system's choice.
pub struct RoutedServer {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

struct Shared {
    id: String,
    names: RoutedNames,
    behaviour: Mutex<Behaviour>,
    /// The request that it does not survive.
    deadly: Mutex<Option<DeadlyRequest>>,
    crashed: CancellationToken,
    /// It has crashed and refuses connections. Open ones close only then: when a process ends, all of its sockets close, and
    /// nobody who sees one closed finds another one open.
    refuses: CancellationToken,
    seen: Mutex<Vec<SeenRequest>>,
    /// Connections that the other side closed while a request was being worked on.
    abandoned: AtomicU64,
    connections: AtomicU64,
    open_connections: AtomicU64,
    stamps: AtomicU64,
}

/// A request that ends the server that runs it.
#[derive(Clone, Debug)]
struct DeadlyRequest {
    target: String,
    /// Time from its arrival until the server ends.
    work: Duration,
}

impl RoutedServer {
    /// Starts a server.
    ///
    /// # Errors
    /// The system's, when it cannot listen.
    pub async fn start(
        id: &str,
        names: RoutedNames,
        behaviour: Behaviour,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            names,
            behaviour: Mutex::new(behaviour),
            deadly: Mutex::default(),
            crashed: CancellationToken::new(),
            refuses: CancellationToken::new(),
            seen: Mutex::default(),
            abandoned: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            open_connections: AtomicU64::new(0),
            stamps: AtomicU64::new(0),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            id: id.to_owned(),
            address,
            shared,
            accepting,
        })
    }

    /// Changes how it answers from the next request on.
    pub fn set(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// From now on a request for `target` ends the server after `work`: every connection closes, and new ones are
    /// refused.
    pub fn crash_on(&self, target: &str, work: Duration) {
        *lock(&self.shared.deadly) = Some(DeadlyRequest {
            target: target.to_owned(),
            work,
        });
    }

    /// Whether a request has ended it.
    pub fn has_crashed(&self) -> bool {
        self.shared.crashed.is_cancelled()
    }

    /// The requests that reached it, health checks too.
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.shared.seen).clone()
    }

    /// Requests whose connection the other side closed before they were answered.
    pub fn abandoned(&self) -> u64 {
        self.shared.abandoned.load(Ordering::SeqCst)
    }

    /// Connections that were opened to it.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> u64 {
        self.shared.open_connections.load(Ordering::SeqCst)
    }
}

impl Drop for RoutedServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let accepted = tokio::select! {
            () = shared.crashed.cancelled() => {
                drop(listener);
                shared.refuses.cancel();
                return;
            }
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        let number = shared.connections.fetch_add(1, Ordering::SeqCst) + 1;
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            shared.open_connections.fetch_add(1, Ordering::SeqCst);
            tokio::select! {
                () = shared.refuses.cancelled() => {}
                () = serve(stream, number, Arc::clone(&shared)) => {}
            }
            shared.open_connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn serve(stream: TcpStream, number: u64, shared: Arc<Shared>) {
    // Small answers must not wait; without the option they are only late.
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    while let Some(request) = read_request(&mut reader, number).await {
        let behaviour = lock(&shared.behaviour).clone();
        let id = request
            .header(shared.names.request_id)
            .unwrap_or_default()
            .to_owned();
        let deadly = lock(&shared.deadly).clone();
        let deadly = deadly.filter(|deadly| deadly.target == request.target);
        lock(&shared.seen).push(request);
        if let Some(deadly) = deadly {
            sleep(deadly.work).await;
            shared.crashed.cancel();
            shared.refuses.cancelled().await;
            return;
        }
        if let Behaviour::Answer { work, .. } = &behaviour
            && !work_unless_left(&mut reader, *work).await
        {
            shared.abandoned.fetch_add(1, Ordering::SeqCst);
            return;
        }
        if behaviour == Behaviour::Silent {
            // Bytes or an end: either way nothing more is said.
            let _ = reader.read_u8().await;
            shared.abandoned.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let is_reset = matches!(behaviour, Behaviour::Reset | Behaviour::UnframedReset);
        if let Behaviour::Endless(part) = &behaviour {
            shared.answer_endlessly(&mut writer, *part, &id).await;
            return;
        }
        let ended = shared.answer(&mut writer, &behaviour, &id).await;
        if is_reset {
            reset(reader, writer);
            return;
        }
        if !ended {
            return;
        }
    }
}

/// Works for a time; false when the other side leaves meanwhile.
async fn work_unless_left(reader: &mut BufReader<OwnedReadHalf>, work: Duration) -> bool {
    if work.is_zero() {
        return true;
    }
    tokio::select! {
        () = sleep(work) => true,
        read = reader.read_u8() => read.is_ok(),
    }
}

/// Closes with a reset.
fn reset(reader: BufReader<OwnedReadHalf>, writer: OwnedWriteHalf) {
    if let Ok(stream) = reader.into_inner().reunite(writer) {
        // A socket without lingering is reset when it is closed.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

impl Shared {
    /// Sends the answer; false when the connection is to be closed.
    async fn answer(
        &self,
        writer: &mut OwnedWriteHalf,
        behaviour: &Behaviour,
        request: &str,
    ) -> bool {
        let other = "another-request";
        let bytes = match behaviour {
            Behaviour::Answer { body, .. } => self.framed("200 OK", request, "", body),
            Behaviour::Chunked { body } => self.chunked(request, body),
            Behaviour::Unframed { body } => self.unframed(request, body),
            Behaviour::UnframedReset => self.unframed(request, b"a beginning"),
            Behaviour::CutOff => {
                let mut whole = self.framed("200 OK", request, "", &[7; 160]);
                whole.truncate(whole.len() - 40);
                whole
            }
            Behaviour::Reset | Behaviour::Close | Behaviour::Silent | Behaviour::Endless(_) => {
                Vec::new()
            }
            Behaviour::Status { status } => self.framed(status, request, "", b"status"),
            Behaviour::HeaderLine { line } => {
                self.framed("200 OK", request, &format!("{line}\r\n"), b"header")
            }
            Behaviour::CutAfter { length } => {
                let mut whole = self.framed("200 OK", request, "", b"");
                whole.truncate(*length);
                whole
            }
            Behaviour::Garbage => b"\x00\x01 this is no answer\r\n\r\n".to_vec(),
            Behaviour::Surplus { body } => {
                let mut both = self.framed("200 OK", request, "", body);
                both.extend(self.framed("200 OK", request, "", b"surplus-surplus!"));
                both
            }
            Behaviour::OtherRequest => self.framed("200 OK", other, "", &[9; 16]),
            Behaviour::Encoded => {
                self.framed("200 OK", request, "Content-Encoding: gzip\r\n", &[9; 16])
            }
            Behaviour::Unsigned => unsigned(self.names.request_id, request),
            Behaviour::Shed => self.not_executed("503 Service Unavailable", request),
            Behaviour::Misdirected => self.not_executed("421 Misdirected Request", request),
            Behaviour::Unavailable => unavailable(self.names.request_id, request),
            Behaviour::Foreign { bytes, is_answered } => {
                let mut both = bytes.clone();
                if *is_answered {
                    both.extend(self.framed("200 OK", request, "", b"own"));
                }
                both
            }
            Behaviour::Fail => self.framed("500 Internal Server Error", request, "", b"failed"),
        };
        // A caller that has gone gets nothing.
        let sent = writer.write_all(&bytes).await.is_ok() && writer.flush().await.is_ok();
        let is_last = matches!(
            behaviour,
            Behaviour::Unframed { .. }
                | Behaviour::UnframedReset
                | Behaviour::CutOff
                | Behaviour::Reset
                | Behaviour::Close
                | Behaviour::Garbage
                | Behaviour::CutAfter { .. }
        );
        sent && !is_last
    }

    /// Sends bytes until the other side closes the connection.
    async fn answer_endlessly(
        &self,
        writer: &mut OwnedWriteHalf,
        part: EndlessPart,
        request: &str,
    ) {
        let head = self.head("200 OK", request);
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let (start, repeated) = match part {
            EndlessPart::HeaderValue => (format!("{head}long: "), "value".to_owned()),
            EndlessPart::Headers => (head, "more: value\r\n".to_owned()),
            EndlessPart::InterimResponses => {
                (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned())
            }
            EndlessPart::UnframedBody => (format!("{head}\r\n"), "body".to_owned()),
            EndlessPart::ChunkedBody => (chunked, format!("400\r\n{}\r\n", "b".repeat(0x400))),
            EndlessPart::ChunkExtension => (format!("{chunked}4;"), "extension".to_owned()),
            EndlessPart::AfterAnswer => (
                format!("{head}Content-Length: 6\r\n\r\nanswer"),
                "surplus".to_owned(),
            ),
            EndlessPart::Trailers => (format!("{chunked}0\r\n"), "more: value\r\n".to_owned()),
        };
        let repeated = repeated.repeat(ENDLESS_REPEATS);
        let mut sent = writer.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            sent = writer.write_all(repeated.as_bytes()).await;
        }
    }

    fn head(&self, status: &str, request: &str) -> String {
        let number = self.stamps.fetch_add(1, Ordering::SeqCst);
        let Shared { id, names, .. } = self;
        format!(
            "HTTP/1.1 {status}\r\n{}: {request}\r\n{}: {id}.{number}\r\n",
            names.request_id, names.stamp
        )
    }

    fn framed(&self, status: &str, request: &str, extra: &str, body: &[u8]) -> Vec<u8> {
        let head = self.head(status, request);
        let mut bytes = format!("{head}{extra}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    fn chunked(&self, request: &str, body: &[u8]) -> Vec<u8> {
        let head = self.head("200 OK", request);
        let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        for chunk in body.chunks(7) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    }

    fn unframed(&self, request: &str, body: &[u8]) -> Vec<u8> {
        let mut bytes = format!("{}\r\n", self.head("200 OK", request)).into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    fn not_executed(&self, status: &str, request: &str) -> Vec<u8> {
        let Shared { id, names, .. } = self;
        let head = [
            format!("HTTP/1.1 {status}"),
            format!("{}: {request}", names.request_id),
            format!("{}: 1", names.not_executed),
            format!("{}: {id}", names.instance),
        ];
        format!("{}\r\nContent-Length: 0\r\n\r\n", head.join("\r\n")).into_bytes()
    }
}

fn unavailable(request_id: &str, request: &str) -> Vec<u8> {
    format!("HTTP/1.1 503 Busy\r\n{request_id}: {request}\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

fn unsigned(request_id: &str, request: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{request_id}: {request}\r\nContent-Length: 4\r\n\r\nfour")
        .into_bytes()
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
