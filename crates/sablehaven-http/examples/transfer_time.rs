//! Measures the time to send responses and bodies of requests of several sizes on one connection, through a proxy that
//! adds round trips. The server has the limits of a machine with 260 MB.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Method, Request, Response, body::Incoming};
use sablehaven_faults::{Faults, Proxy};
use sablehaven_http::{
    ClientBudget, ClientConnection, ClientLimits, ConnectionLimits, MachineLimits, ServerSignals,
    WholeBody, accept_connections, collect_request, listen,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::{LocalSet, spawn_local},
    time::Instant,
};

const KIBIBYTE: usize = 1024;
/// Sizes of responses and bodies, in bytes.
const SIZES: [usize; 6] = [
    KIBIBYTE,
    16 * KIBIBYTE,
    64 * KIBIBYTE,
    256 * KIBIBYTE,
    1024 * KIBIBYTE,
    8 * 1024 * KIBIBYTE,
];
/// Round trips that the proxy adds.
const ROUND_TRIPS_MS: [u64; 3] = [0, 20, 100];
/// Measured requests of each size. The median is printed.
const REPEATS: usize = 7;

/// Answers a GET with as many bytes as its path says, and anything else with nothing once its body has arrived.
async fn answer(client: ClientConnection, request: Request<Incoming>) -> Response<WholeBody> {
    let length = request.uri().path()[1..].parse().unwrap_or_default();
    let body = if request.method() == Method::GET {
        vec![b'a'; length]
    } else {
        let body = request.into_body();
        let collected = collect_request(&client, body, usize::MAX).await;
        collected.expect("the body of the request");
        Vec::new()
    };
    Response::new(WholeBody::new(Bytes::from(body)))
}

fn start_server() -> SocketAddr {
    let limits = ClientLimits::for_machine(MachineLimits {
        memory_bytes: 260 * 1024 * 1024,
        descriptors: 4_000,
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = listen(address, limits.socket_buffer_bytes).expect("listen");
    let address = listener.local_addr().expect("an address");
    let connection_limits = ConnectionLimits {
        max_header_bytes: 16 * KIBIBYTE,
        header_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(10),
    };
    let share = ClientBudget::new(limits).listener(usize::MAX);
    let handler = |client, request| async move { answer(client, request).await };
    let signals = ServerSignals::default();
    spawn_local(accept_connections(
        listener,
        move || connection_limits,
        share,
        signals,
        handler,
    ));
    address
}

/// Sends a request with `sent` bytes as its body, and reads its response with a body of `received` bytes.
async fn exchange(stream: &mut TcpStream, sent: usize, received: usize) -> Duration {
    let started = Instant::now();
    let method = if sent > 0 { "POST" } else { "GET" };
    let head = format!("{method} /{received} HTTP/1.1\r\ncontent-length: {sent}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("send");
    stream.write_all(&vec![b'b'; sent]).await.expect("send");
    let mut response = Vec::new();
    while !response.windows(4).any(|end| end == b"\r\n\r\n") {
        response.push(stream.read_u8().await.expect("a head"));
    }
    let mut body = vec![0; received];
    stream.read_exact(&mut body).await.expect("a body");
    started.elapsed()
}

async fn median_ms(address: SocketAddr, sent: usize, received: usize) -> f64 {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.set_nodelay(true).expect("an option");
    let mut times = Vec::new();
    for _ in 0..REPEATS {
        times.push(exchange(&mut stream, sent, received).await);
    }
    times.sort();
    times[REPEATS / 2].as_secs_f64() * 1_000.0
}

async fn measure() {
    let server = start_server();
    println!("round trip ms\tbytes\tresponse ms\trequest ms");
    for round_trip_ms in ROUND_TRIPS_MS {
        let proxy = Proxy::start(server, 1).await.expect("a proxy");
        proxy.set_faults(Faults::latency(Duration::from_millis(round_trip_ms / 2)));
        let address = match round_trip_ms {
            0 => server,
            _ => proxy.address(),
        };
        for size in SIZES {
            let response = median_ms(address, 0, size).await;
            let request = median_ms(address, size, 0).await;
            println!("{round_trip_ms}\t{size}\t{response:.2}\t{request:.2}");
        }
    }
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, measure());
}
