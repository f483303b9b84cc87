//! A caller that sends each request on a new connection.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode, header::HeaderMap};
use sablehaven_http::{OpenConnection, WholeBody};

use super::WAIT_TIMEOUT;

/// The response to a caller's request.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub elapsed: Duration,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Asserts that the gateway refused the request at once without running it, with a retry delay of about a second.
pub fn assert_unavailable(response: &Response) {
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = response
        .header("retry-after")
        .expect("a Retry-After header");
    assert!(
        retry_after.parse::<f64>().expect("seconds") > 0.5,
        "{retry_after}"
    );
    assert!(
        response.elapsed < Duration::from_secs(1),
        "{:?}",
        response.elapsed
    );
}

/// Sends a request on a new connection and waits for the whole response.
pub async fn send_request(
    address: SocketAddr,
    id: Option<&str>,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
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
        .expect("a response");
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("a complete body").to_bytes();
    Response {
        status: head.status,
        headers: head.headers,
        body,
        elapsed: started.elapsed(),
    }
}

async fn connect(address: SocketAddr) -> hyper::client::conn::http1::SendRequest<WholeBody> {
    let opened = sablehaven_http::connect(None, address, WAIT_TIMEOUT, WAIT_TIMEOUT)
        .await
        .expect("connect");
    let OpenConnection {
        sender, connection, ..
    } = opened;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    sender
}
