//! Memory of connections to servers: opens COUNT connections to ADDRESS, sends some requests on each
//! and prints what is resident. A server must listen there.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use sablehaven_http::{WholeBody, connect};
use tokio::task::{LocalSet, spawn_local};

fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon"));
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
        let before = resident_kb();
        let mut senders = Vec::new();
        for _ in 0..count {
            let limit = Duration::from_secs(1);
            let opened = connect(None, address, limit, limit).await.expect("connect");
            let connection = opened.connection;
            spawn_local(async move {
                let _ = connection.await;
            });
            senders.push(opened.sender);
        }
        let opened = resident_kb();
        for _ in 0..50 {
            for sender in &mut senders {
                sender.ready().await.expect("ready");
                let request = Request::get("/x")
                    .header("host", "stock.example")
                    .header("sablehaven-request-id", "9c41d07be2a35f68")
                    .body(WholeBody::new(Bytes::new()))
                    .expect("a request");
                let answer = sender.send_request(request).await.expect("an answer");
                answer.into_body().collect().await.expect("a body");
            }
        }
        let used = resident_kb();
        println!("start {before} kB, {count} connections {opened} kB, used {used} kB");
        println!(
            "each: {:.1} kB open, {:.1} kB used",
            (opened - before) as f64 / count as f64,
            (used - before) as f64 / count as f64
        );
    });
}
