//! The operator: puts and reads configurations, follows redirects and moves on to another replica after a failure.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::client::{Answer, Request};

/// How long the operator waits for one response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Redirects that the operator follows.
const MAX_REDIRECTS: usize = 2;

/// Puts a configuration until it is acknowledged. Returns whether that happened in time.
pub fn put(controls: &[SocketAddr], configuration: &str, timeout: Duration) -> bool {
    let started = Instant::now();
    for control in controls.iter().cycle() {
        if started.elapsed() > timeout {
            return false;
        }
        let answer = call(*control, "POST", "/Config.Put", configuration);
        if answer.is_some_and(|answer| answer.status == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    let mut address = address;
    for _ in 0..=MAX_REDIRECTS {
        let mut request = Request::new(method, path, &address.to_string());
        request.body = body.to_owned();
        let answer = request.send(address, CALL_TIMEOUT).ok()?;
        if answer.status != 307 {
            return Some(answer);
        }
        let location = answer.location?;
        let location = location.strip_prefix("http://")?;
        address = location.split('/').next()?.parse().ok()?;
    }
    None
}
