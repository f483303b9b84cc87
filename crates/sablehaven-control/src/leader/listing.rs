//! Reads the platform's list of servers for the gateways.

use std::{pin::Pin, sync::Arc, time::Duration};

use sablehaven_types::ListedServer;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::server::Context;

/// Time that one reading may take, all its pages together.
const READING_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a reading failed: step and peer.
pub type ServerSourceError = Box<dyn std::error::Error + Send + Sync>;

/// A reading under way.
pub type ServerListFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Vec<ListedServer>, ServerSourceError>> + Send + 'a>>;

/// Where the list of servers comes from.
pub trait ServerSource: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> ServerListFuture<'_>;
}

/// Reads the list while this replica leads, until it stops. The list lags and a reading may fail:
/// what is known stays in force meanwhile.
pub(crate) async fn read_listing(context: Arc<Context>, source: Arc<dyn ServerSource>) {
    let mut ticker = interval(Duration::from_millis(context.config.listing_interval_ms));
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut published = context.published.clone();
    let mut is_failing = false;
    loop {
        // A new leader reads at once.
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
        let result = match timeout(READING_TIMEOUT, source.read()).await {
            Ok(Ok(servers)) => {
                context.gateways.apply_read_listing(term, servers);
                Ok(())
            }
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("read list of servers: not done in time".to_owned()),
        };
        log_change(&result, &mut is_failing);
        if result.is_err() {
            context.metrics.error("read_listing");
        }
    }
}

/// One line when the source is lost, one when it is back.
fn log_change(result: &Result<(), String>, is_failing: &mut bool) {
    match result {
        Err(error) if !*is_failing => log::warn!("list of servers lost: {error}"),
        Ok(()) if *is_failing => log::info!("list of servers is read again"),
        _ => {}
    }
    *is_failing = result.is_err();
}
