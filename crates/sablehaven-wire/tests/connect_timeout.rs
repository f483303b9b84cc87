//! Tests of the timeout for attempts to connect.

use std::{
    future::{pending, ready},
    time::Duration,
};

use sablehaven_wire::ConnectTimeout;

#[tokio::test(start_paused = true)]
async fn the_timeout_doubles_without_an_answer_and_is_reset_by_one() {
    let mut timeout = ConnectTimeout::default();
    let first = timeout.current();
    assert_eq!(timeout.attempt(pending::<()>()).await, None);
    assert_eq!(timeout.current(), first * 2);
    assert_eq!(timeout.attempt(ready("refused")).await, Some("refused"));
    assert_eq!(timeout.current(), first);
}

#[tokio::test(start_paused = true)]
async fn the_timeout_has_a_maximum() {
    let mut timeout = ConnectTimeout::default();
    for _ in 0..10 {
        assert_eq!(timeout.attempt(pending::<()>()).await, None);
    }
    assert_eq!(timeout.current(), Duration::from_secs(2));
}
