//! A caller: one request on a connection of its own.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode, header::HeaderMap};
use sablehaven_http::{Opened, WholeBody, open};

use super::LIMIT;

/// A caller's answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub taken: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// The answer is a true "not run" at once, with about a second to come back.
pub fn assert_unservable(answer: &Answer) {
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let pause = answer.header("retry-after").expect("when to come back");
    assert!(pause.parse::<f64>().expect("seconds") > 0.5, "{pause}");
    assert!(answer.taken < Duration::from_secs(1), "{:?}", answer.taken);
}

/// Sends one request on a connection of its own.
pub async fn call(
    address: SocketAddr,
    id: Option<&str>,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut connection = connect(address).await;
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "stock.example");
    if let Some(id) = id {
        request = request.header("sablehaven-request-id", id);
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(WholeBody::new(Bytes::copy_from_slice(body.as_bytes())));
    let started = Instant::now();
    let response = connection
        .send_request(request.expect("a request"))
        .await
        .expect("an answer");
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("a whole body").to_bytes();
    Answer {
        status: head.status,
        headers: head.headers,
        body,
        taken: started.elapsed(),
    }
}

async fn connect(address: SocketAddr) -> hyper::client::conn::http1::SendRequest<WholeBody> {
    let opened = open(None, address, LIMIT, LIMIT).await.expect("connect");
    let Opened {
        sender, connection, ..
    } = opened;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    sender
}
