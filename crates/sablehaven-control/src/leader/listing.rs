//! Reads the platform's list of servers for the gateways.

use std::{pin::Pin, sync::Arc, time::Duration};

use sablehaven_types::{ListedServer, ListingNumber};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::rejected_entries::RejectedEntryLog;
use crate::server::Context;

/// Timeout of one read of the list, including all its pages.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a read of the list failed; names the step and the peer.
pub type ServerSourceError = Box<dyn std::error::Error + Send + Sync>;

/// A complete reading of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListReading {
    /// The listed servers.
    pub servers: Vec<ListedServer>,
    /// The entries that name no server to use.
    pub rejected: Vec<RejectedEntry>,
}

/// An entry of the list that names no server to use, for example since another party has written it incompletely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedEntry {
    /// The entry's id, if it can be read.
    pub id: Option<String>,
    /// The kind of error; one of a few values, since metrics are labelled with it.
    pub kind: &'static str,
    /// The error in words.
    pub reason: String,
}

/// A read of the list in progress.
pub type ServerListFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ListReading, ServerSourceError>> + Send + 'a>>;

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
    let mut rejected_entries = RejectedEntryLog::new("servers");
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
            Ok(Ok(reading)) => {
                rejected_entries.record(&reading.rejected);
                context.metrics.rejected_servers.set(&reading.rejected);
                context.gateways.apply_read_listing(term, reading.servers);
                Ok(())
            }
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("reading the list of servers timed out".to_owned()),
        };
        let held = context.gateways.listing_number();
        log_transition(&result, held, &mut is_failing);
        if result.is_err() {
            context.metrics.error("read_listing");
        }
    }
}

/// Logs the first failure and the first success after failures. `held` is the listing that stays in force; its default
/// value means that there is none.
fn log_transition(result: &Result<(), String>, held: ListingNumber, is_failing: &mut bool) {
    match result {
        Err(error) if !*is_failing => log::warn!(
            event = "listing_read_failed", reason = error.as_str(),
            held_term = held.term, held_reading = held.reading;
            "cannot read the list of servers; the last list stays in force"
        ),
        Ok(()) if *is_failing => log::info!(
            event = "listing_read", term = held.term, reading = held.reading;
            "reading the list of servers works again"
        ),
        _ => {}
    }
    *is_failing = result.is_err();
}
