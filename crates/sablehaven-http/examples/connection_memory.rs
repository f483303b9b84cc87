//! Measures the memory of connections to servers. Opens COUNT connections to ADDRESS, sends 50 requests on each and
//! prints the resident memory. An HTTP/1.1 server must listen at ADDRESS.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use sablehaven_http::{WholeBody, connect};
use tokio::task::{LocalSet, spawn_local};

/// Returns the resident anonymous memory of this process, in kB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let address = arguments
        .next()
        .expect("an address")
        .parse()
        .expect("an address");
    let count: usize = arguments
        .next()
        .map_or(100, |text| text.parse().expect("a number"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, async move {
        let before_kb = resident_kb();
        let mut senders = Vec::new();
        for _ in 0..count {
            let timeout = Duration::from_secs(1);
            let open_connection = connect(None, address, timeout, timeout).await.expect("connect");
            let connection = open_connection.connection;
            spawn_local(async move {
                let _ = connection.await;
            });
            senders.push(open_connection.sender);
        }
        let opened_kb = resident_kb();
        for _ in 0..50 {
            for sender in &mut senders {
                sender.ready().await.expect("ready");
                let request = Request::get("/x")
                    .header("host", "stock.example")
                    .header("sablehaven-request-id", "9c41d07be2a35f68")
                    .body(WholeBody::new(Bytes::new()))
                    .expect("a request");
                let response = sender.send_request(request).await.expect("a response");
                response.into_body().collect().await.expect("a body");
            }
        }
        let used_kb = resident_kb();
        println!("start {before_kb} kB, {count} connections open {opened_kb} kB, after requests {used_kb} kB");
        println!(
            "per connection: {:.1} kB open, {:.1} kB after requests",
            (opened_kb - before_kb) as f64 / count as f64,
            (used_kb - before_kb) as f64 / count as f64
        );
    });
}
