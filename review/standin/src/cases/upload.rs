//! Clients finish the upload of their requests while the gateways are stopped in turn.

use std::{
    io::{BufReader, Read, Write},
    net::{Ipv4Addr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use super::{Verdict, configuration, set_fleet, start_servers, with_fleet};
use crate::{
    fleet::{CONTACT, Fleet, GRACE},
    http,
    platform::List,
    record::Record,
    sys,
};

/// What the client of a request saw.
enum Answer {
    /// A whole answer with this status.
    Whole(u16),
    /// The connection ended with no complete answer.
    Cut(String),
}

/// Waits until a client of the zone would use this gateway, and its client's machine has been in touch long enough.
fn wait_until_named(gateway: usize) -> Result<(Ipv4Addr, u16), String> {
    thread::sleep(CONTACT);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(10) {
        if with_fleet(|fleet| fleet.directory_names(gateway)) {
            return Ok(with_fleet(|fleet| {
                (fleet.gateways[gateway].ip, fleet.front_port())
            }));
        }
        thread::sleep(Duration::from_millis(200));
    }
    Err("the directory does not name the gateway".to_owned())
}

/// The planned stop of a gateway, as the platform does it. Returns when the process has ended.
fn stop_gateway(gateway: usize, record: &Record) {
    let (name, stopped) = with_fleet(|fleet| {
        let process = &mut fleet.gateways[gateway];
        let has_ended = process.wait_for_end(GRACE);
        process.kill();
        (process.name.clone(), has_ended)
    });
    let how = if stopped {
        "has ended by itself"
    } else {
        "is killed after grace_s"
    };
    record.add(format!("{name} {how}"));
}

/// Reads an answer.
fn read_answer(stream: TcpStream) -> Answer {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let mut reader = BufReader::with_capacity(2048, stream);
    let head = match http::read_head(&mut reader) {
        Ok(Some(head)) => head,
        Ok(None) => return Answer::Cut("closed without an answer".to_owned()),
        Err(error) => return Answer::Cut(format!("no answer: {error}")),
    };
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut read = 0;
    let mut buffer = [0; 2048];
    while read < length {
        match reader.read(&mut buffer) {
            Ok(0) => {
                return Answer::Cut(format!(
                    "status {}, closed after {read} of {length} bytes",
                    head.status()
                ));
            }
            Ok(count) => read += count,
            Err(error) => {
                return Answer::Cut(format!(
                    "status {}, {read} of {length} bytes, then: {error}",
                    head.status()
                ));
            }
        }
    }
    Answer::Whole(head.status())
}

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let list = List::start();
    let servers = start_servers(&list, Duration::from_millis(150), record);
    set_fleet(Fleet::start(&list, &configuration(), record)?);
    let mut broken = 0;
    for round in 0..6 {
        let gateway = round % 3;
        let (ip, port) = wait_until_named(gateway)?;
        let last_part_at = Duration::from_millis([3_328, 3_332, 3_336, 3_330, 3_334, 3_326][round]);
        let stopped_at = Instant::now();
        if has_trouble {
            record.add(format!("SIGTERM to gateway-{}", gateway + 1));
            with_fleet(|fleet| fleet.gateways[gateway].signal(sys::SIGTERM));
        }
        let id = format!("{:016x}", 0xb000 + round);
        let client = {
            let record = record.clone();
            let id = id.clone();
            thread::spawn(move || {
                upload(&id, (ip, port), gateway, stopped_at, last_part_at, &record)
            })
        };
        if has_trouble {
            stop_gateway(gateway, record);
            with_fleet(|fleet| fleet.restart_gateway(gateway))?;
        }
        let answer = client
            .join()
            .map_err(|_| "the client failed".to_owned())??;
        let was_run = servers
            .iter()
            .any(|server| server.runs().iter().any(|run| run.request == id));
        match &answer {
            Answer::Whole(status) => {
                record.add(format!("the client has the whole answer to {id}: {status}"))
            }
            Answer::Cut(how) => record.add(format!(
                "the client has no complete answer to {id}: {how}; run: {was_run}"
            )),
        }
        if matches!(answer, Answer::Cut(_)) && was_run {
            broken += 1;
        }
    }
    Ok(if broken > 0 {
        Verdict::Broken(broken)
    } else {
        Verdict::Held
    })
}

const PARTS: u32 = 8;
const PART_BYTES: usize = 2_500;
const UPLOAD: Duration = Duration::from_millis(800);

/// Sends a request whose body comes in parts, the last of them at a time after the stop began.
fn upload(
    id: &str,
    (ip, port): (Ipv4Addr, u16),
    gateway: usize,
    stopped_at: Instant,
    last_part_at: Duration,
    record: &Record,
) -> Result<Answer, String> {
    let wait_until =
        |at: Duration| thread::sleep((stopped_at + at).saturating_duration_since(Instant::now()));
    wait_until(last_part_at - UPLOAD);
    let error = |error: std::io::Error| format!("client of {id}: {error}");
    let mut stream = TcpStream::connect((ip, port)).map_err(error)?;
    stream.set_nodelay(true).map_err(error)?;
    let length = PARTS as usize * PART_BYTES;
    let head = format!(
        "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Sablehaven-Request-Id: {id}\r\nX-Sablehaven-Deadline-Ms: 15000\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).map_err(error)?;
    record.add(format!(
        "the client sends the head of {id} to gateway-{}",
        gateway + 1
    ));
    for part in 1..=PARTS {
        wait_until(last_part_at - UPLOAD + UPLOAD * part / PARTS);
        if let Err(error) = stream.write_all(&[b'b'; PART_BYTES]) {
            return Ok(Answer::Cut(format!("part {part}: {error}")));
        }
    }
    record.add(format!(
        "the client has sent the last byte of {id}, {:.1} ms after the stop began",
        stopped_at.elapsed().as_secs_f64() * 1_000.0
    ));
    Ok(read_answer(stream))
}
