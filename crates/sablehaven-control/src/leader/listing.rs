//! Reads the platform's list of servers for the gateways.

use std::{pin::Pin, sync::Arc, time::Duration};

use sablehaven_types::ListedServer;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::server::Context;

/// Timeout of one read of the list, including all its pages.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a read of the list failed; names the step and the peer.
pub type ServerSourceError = Box<dyn std::error::Error + Send + Sync>;

/// A read of the list in progress.
pub type ServerListFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Vec<ListedServer>, ServerSourceError>> + Send + 'a>>;

/// A source of the list of servers.
pub trait ServerSource: Send + Sync {
    /// Reads the complete list.
    fn read(&self) -> ServerListFuture<'_>;
}

/// Reads the list periodically while this replica leads, until it stops. The platform's list lags behind the servers,
/// and a read may fail; the last list stays in force in the meantime.
pub(crate) async fn read_listing(context: Arc<Context>, source: Arc<dyn ServerSource>) {
    let mut ticker = interval(Duration::from_millis(context.config.listing_interval_ms));
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut published = context.published.clone();
    let mut is_failing = false;
    loop {
        // A new leader reads the list immediately.
        tokio::select! {
            _ = ticker.tick() => {}
            Ok(()) = published.changed() => {
                let is_new_leader = published.borrow_and_update().is_leader()
                    && context.gateways.listing_term() != published.borrow().term;
                if !is_new_leader {
                    continue;
                }
            }
        }
        let (is_leader, term) = {
            let published = context.published.borrow();
            (published.is_leader(), published.term)
        };
        if !is_leader {
            continue;
        }
        let result = match timeout(READ_TIMEOUT, source.read()).await {
            Ok(Ok(servers)) => {
                context.gateways.apply_read_listing(term, servers);
                Ok(())
            }
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("reading the list of servers timed out".to_owned()),
        };
        log_transition(&result, &mut is_failing);
        if result.is_err() {
            context.metrics.error("read_listing");
        }
    }
}

/// Logs the first failure and the first success after failures.
fn log_transition(result: &Result<(), String>, is_failing: &mut bool) {
    match result {
        Err(error) if !*is_failing => {
            log::warn!("cannot read the list of servers; the last list stays in force: {error}")
        }
        Ok(()) if *is_failing => log::info!("reading the list of servers works again"),
        _ => {}
    }
    *is_failing = result.is_err();
}
