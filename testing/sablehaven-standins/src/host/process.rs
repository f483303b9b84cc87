//! A host as the whole of a process.

use std::io;

use sablehaven_types::BoundAddresses;
use tokio::signal::unix::{SignalKind, signal};

use super::{HostError, HostFile, start};

/// Serves a host file until `SIGTERM` or `SIGINT`.
///
/// Writes one line to standard output once everything listens: [`BoundAddresses`] as JSON, with the
/// administration interface as `http`. The other addresses are at its `/admin/host`.
pub fn run_process(file: &HostFile) -> Result<(), HostError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|source| failed("start runtime", source))?;
    runtime.block_on(serve(file))
}

async fn serve(file: &HostFile) -> Result<(), HostError> {
    let listen = |kind| signal(kind).map_err(|source| failed("listen for signals", source));
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let host = start(file.clone()).await?;
    let addresses = BoundAddresses {
        http: Some(host.report().admin),
        internal: None,
    };
    let line = serde_json::to_string(&addresses);
    let line = line.map_err(|source| failed("write addresses", source.into()))?;
    println!("{line}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    host.stop().await;
    Ok(())
}

fn failed(step: &'static str, source: io::Error) -> HostError {
    HostError::Process { step, source }
}
