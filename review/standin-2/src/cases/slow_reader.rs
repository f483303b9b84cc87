//! A planned stop of a gateway while clients on slow links receive their answers.
//!
//! The server is done with each request within a few milliseconds, and each client reads without a pause until it has
//! the whole answer, well before the end of the time that a stop may take.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use socket2::{Domain, Protocol, Socket, Type};

use super::{START_TIMEOUT, configuration};
use crate::{
    Verdict,
    client::Request,
    deployment::Deployment,
    list::{List, entry},
    operator,
    record::Record,
    server::Server,
};

/// Size of an answer.
const ANSWER_BYTES: usize = 512 * 1024;
/// Rate at which a client's link carries the answer: about 1.4 Mbit/s, so that an answer takes 3 s.
const LINK_BYTES_PER_S: usize = 175_000;
/// How often a client reads.
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Receive buffer of a client: links have small windows.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// Largest segment on a link with the usual frames.
const SEGMENT_BYTES: u32 = 1_460;
/// When each client sends its request, after the signal.
const SEND_TIMES_MS: [u64; 4] = [1_000, 1_500, 2_000, 2_500];
/// How long the clients wait.
const DEADLINE_MS: u64 = 15_000;
/// The time for a planned stop, as in the settings.
const GRACE: Duration = Duration::from_secs(6);

/// What a client received.
struct Received {
    announced: Option<usize>,
    body: usize,
    error: Option<String>,
}

pub fn run(record: &Record, is_troubled: bool) -> Verdict {
    let list = List::start();
    let server = Server::start("i-1", vec![b'x'; ANSWER_BYTES], Duration::from_millis(5));
    let server_entry = entry("i-1", "libreta", server.address, "sala-cordon", "ready");
    list.set("i-1", server_entry);
    let mut deployment = Deployment::start(3, 2, list.address);
    let configuration = configuration(1, "safe", "libreta", DEADLINE_MS);
    let controls = deployment.control_addresses();
    if !operator::put(&controls, &configuration, START_TIMEOUT) {
        return Verdict::CouldNotRun("the configuration was not acknowledged".to_owned());
    }
    if !deployment.wait_ready(START_TIMEOUT) {
        return Verdict::CouldNotRun("the gateways are not ready".to_owned());
    }
    // Calm for `contact_ms`, so that every machine is in touch.
    thread::sleep(Duration::from_secs(6));
    let gateway = deployment.gateway_address(0);
    let started = Instant::now();
    if is_troubled {
        record.line("SIGTERM to gateway 0");
        deployment.gateways[0].signal(Signal::SIGTERM);
    }
    let clients = SEND_TIMES_MS.iter().enumerate().map(|(number, at_ms)| {
        let record = record.clone();
        let at = started + Duration::from_millis(*at_ms);
        thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            fetch(&record, gateway, number)
        })
    });
    let clients: Vec<_> = clients.collect();
    let exited = thread::scope(|scope| {
        let exited = scope.spawn(|| wait_for_exit(&mut deployment, started, record));
        exited.join().unwrap_or(None)
    });
    if is_troubled && exited.is_none() {
        record.line("gateway 0 is still running at the end of grace_s: SIGKILL");
        deployment.gateways[0].kill();
    }
    let results: Vec<Received> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let ran = server.runs();
    for run in &ran {
        let after = run.at.saturating_duration_since(started).as_millis();
        record.line(&format!(
            "server i-1 ran {} {after} ms after the start",
            run.id
        ));
    }
    judge(
        record,
        &results,
        &ran.iter().map(|run| run.id.clone()).collect::<Vec<_>>(),
    )
}

/// Waits until gateway 0 exits or the time for its stop is over. Returns when it exited.
fn wait_for_exit(
    deployment: &mut Deployment,
    started: Instant,
    record: &Record,
) -> Option<Duration> {
    while started.elapsed() < GRACE {
        if deployment.gateways[0].has_exited() {
            let after = started.elapsed();
            record.line(&format!(
                "gateway 0 exited {} ms after the start",
                after.as_millis()
            ));
            return Some(after);
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

fn judge(record: &Record, results: &[Received], ran: &[String]) -> Verdict {
    let mut cut = 0;
    for (number, received) in results.iter().enumerate() {
        let is_whole = received.announced == Some(received.body) && received.body >= ANSWER_BYTES;
        let was_passed_on = ran.contains(&request_id(number));
        record.line(&format!(
            "client {number}: announced {:?}, received {}, error {:?}, passed on: {was_passed_on}",
            received.announced, received.body, received.error
        ));
        // A request that was not read at all, or was refused, is not counted.
        cut += usize::from(was_passed_on && !is_whole);
    }
    record.line(&format!("{cut} of {} answers were cut", results.len()));
    match cut {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn request_id(number: usize) -> String {
    format!("slow-{number}")
}

/// Sends a request and reads the answer at the rate of the link.
fn fetch(record: &Record, gateway: SocketAddr, number: usize) -> Received {
    let mut received = Received {
        announced: None,
        body: 0,
        error: None,
    };
    if let Err(error) = try_fetch(record, gateway, number, &mut received) {
        received.error = Some(error.to_string());
    }
    received
}

fn try_fetch(
    record: &Record,
    gateway: SocketAddr,
    number: usize,
    received: &mut Received,
) -> std::io::Result<()> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.connect(&gateway.into())?;
    let mut stream: std::net::TcpStream = socket.into();
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let id = request_id(number);
    let request = Request::with_deadline("/busca/ficha", "busca.example", &id, DEADLINE_MS);
    stream.write_all(&request.bytes())?;
    record.line(&format!("client {number} sent {id}"));
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(());
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let announced = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    received.announced = announced.and_then(|text| text.trim().parse().ok());
    record.line(&format!(
        "client {number} receives: {}",
        head.lines().next().unwrap_or_default()
    ));
    let per_read = LINK_BYTES_PER_S * READ_INTERVAL.as_millis() as usize / 1_000;
    let mut buffer = vec![0; per_read];
    let started = Instant::now();
    let mut reads = 0;
    while received
        .announced
        .is_some_and(|announced| received.body < announced)
    {
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            return Ok(());
        }
        received.body += length;
        reads += 1;
        let next_at = started + READ_INTERVAL * reads;
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    record.line(&format!("client {number} has the whole answer"));
    Ok(())
}
