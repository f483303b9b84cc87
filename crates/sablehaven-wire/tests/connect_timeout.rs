//! How long a peer that does not answer is waited for.

use std::{
    future::{pending, ready},
    time::Duration,
};

use sablehaven_wire::ConnectTimeout;

#[tokio::test(start_paused = true)]
async fn patience_grows_while_nobody_answers_and_starts_over_with_an_answer() {
    let mut patience = ConnectTimeout::default();
    let first = patience.limit();
    assert_eq!(patience.attempt(pending::<()>()).await, None);
    assert_eq!(patience.limit(), first * 2);
    assert_eq!(patience.attempt(ready("refused")).await, Some("refused"));
    assert_eq!(patience.limit(), first);
}

#[tokio::test(start_paused = true)]
async fn patience_has_an_end() {
    let mut patience = ConnectTimeout::default();
    for _ in 0..10 {
        assert_eq!(patience.attempt(pending::<()>()).await, None);
    }
    assert_eq!(patience.limit(), Duration::from_secs(2));
}
