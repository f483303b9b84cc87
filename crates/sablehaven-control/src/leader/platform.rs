//! Polls the platform's list of machines and proposes its changes.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval};

use super::rejected_entries::RejectedEntryLog;
use crate::{
    PlatformConfig,
    driver::{ProposeError, read},
    membership::{PlatformAbsences, PlatformList},
    server::Context,
    shared::SharedCommand,
};

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the list; 7,100 machines take about 2 MB.
const MAXIMUM_LIST_BYTES: usize = 32 * 1024 * 1024;

/// Errors of a poll; each names the step and the URL of the platform.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum PollError {
    /// polling the platform list at {url} failed: {source}
    Request {
        /// The URL of the list.
        url: String,
        /// The cause.
        source: reqwest::Error,
    },
    /// platform list at {url} is larger than {limit} bytes
    TooLarge {
        /// The URL of the list.
        url: String,
        /// The limit, in bytes.
        limit: usize,
    },
    /// decoding the platform list of {url} failed: {source}
    Decode {
        /// The URL of the list.
        url: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// proposing the changes of the platform list of {url} failed: {source}
    Propose {
        /// The URL of the list.
        url: String,
        /// The cause.
        source: ProposeError,
    },
}

/// Polls the list periodically while this replica leads, until it stops. The list lags behind the machines, and a poll
/// may fail; the recorded machines stay in force in the meantime.
pub(crate) async fn poll_platform(context: Arc<Context>, config: PlatformConfig) {
    let client = match reqwest::Client::builder()
        .timeout(POLL_TIMEOUT)
        .no_proxy()
        .local_address(context.config.connect_from)
        .build()
    {
        Ok(client) => client,
        Err(error) => {
            log::error!("creating the HTTP client for the platform failed: {error}");
            return;
        }
    };
    let mut ticker = interval(Duration::from_millis(config.poll_interval_ms));
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut absences = PlatformAbsences::default();
    let mut rejected_entries = RejectedEntryLog::new("machines");
    loop {
        ticker.tick().await;
        if !context.is_leader() {
            absences = PlatformAbsences::default();
            continue;
        }
        let list = match fetch(&client, &config.url).await {
            Ok(list) => list,
            Err(error) => {
                report(&context, &error);
                continue;
            }
        };
        rejected_entries.record(&list.rejected);
        context.metrics.rejected_machines.set(&list.rejected);
        if let Err(error) = apply(&context, &list, &config.url, &mut absences).await {
            report(&context, &error);
        }
    }
}

fn report(context: &Context, error: &PollError) {
    log::warn!("{error}");
    context.metrics.error("poll_platform");
}

/// Proposes the changes of a list.
async fn apply(
    context: &Context,
    list: &PlatformList,
    url: &str,
    absences: &mut PlatformAbsences,
) -> Result<(), PollError> {
    let update = read(&context.state, |state| {
        absences.compare(list, state.membership())
    });
    if update.is_empty() {
        return Ok(());
    }
    let proposed = context
        .driver
        .propose(SharedCommand::Platform(update))
        .await;
    proposed.map(|_| ()).map_err(|source| PollError::Propose {
        url: url.to_owned(),
        source,
    })
}

async fn fetch(client: &reqwest::Client, url: &str) -> Result<PlatformList, PollError> {
    let request_error = |source| PollError::Request {
        url: url.to_owned(),
        source,
    };
    let response = client.get(url).send().await.map_err(request_error)?;
    let mut response = response.error_for_status().map_err(request_error)?;
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(request_error)? {
        body.extend_from_slice(&chunk);
        if body.len() > MAXIMUM_LIST_BYTES {
            return Err(PollError::TooLarge {
                url: url.to_owned(),
                limit: MAXIMUM_LIST_BYTES,
            });
        }
    }
    PlatformList::parse(&body).map_err(|source| PollError::Decode {
        url: url.to_owned(),
        source,
    })
}
