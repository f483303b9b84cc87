//! How a new replica becomes part of a deployment.
//!
//! A replica whose folder is new forms a deployment only together with *all* configured peers, each
//! of them new too and allowed to: a peer that holds a log, or that does not answer, may know of a
//! deployment, and a second one beside it could give a key or a version away twice. Of the replicas
//! that could form one, the one with the lowest identity does, so that there is one list of first
//! voters; the others take that list over when they are named in it. A replica that came back with
//! a new disk finds peers that hold a log, so it waits until an operator adds it.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use sablehaven_consensus::ReplicaId;
use tokio::time::sleep;

use super::introduction::{Introduction, PeerContext, probe};
use crate::driver::Input;

/// Pause between two rounds of asking the peers.
const PAUSE: Duration = Duration::from_millis(100);

/// What a new replica does after one round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Write the first entry with these voters.
    Form(BTreeSet<ReplicaId>),
    /// Ask again: someone is missing, or another one forms the deployment.
    Wait,
}

/// Asks the peers until this replica is part of a deployment.
pub(crate) async fn form_or_join(context: Arc<PeerContext>) {
    loop {
        let Some(own) = context.introduction().await else {
            return;
        };
        if own.is_formed {
            return;
        }
        let mut peers = Vec::new();
        for address in &context.config.peers {
            // A peer that does not answer is missing from the list, and the verdict is to wait.
            if let Ok(peer) = probe(&context, *address).await {
                peers.push(peer);
            }
        }
        let verdict = decide(&own, &peers, context.config.peers.len());
        if let Verdict::Form(voters) = verdict
            && !context.driver.send(Input::Form(voters)).await
        {
            return;
        }
        sleep(PAUSE).await;
    }
}

/// Decides from one round of introductions of `expected` peers.
pub(crate) fn decide(own: &Introduction, peers: &[Introduction], expected: usize) -> Verdict {
    let offers = peers.iter().filter_map(|peer| peer.first_voters.as_ref());
    if let Some(voters) = offers
        .into_iter()
        .find(|voters| voters.contains(&own.replica))
    {
        return Verdict::Form(voters.clone());
    }
    let may_form = |each: &Introduction| each.may_bootstrap && !each.is_formed;
    let is_complete = peers.len() == expected && peers.iter().all(may_form);
    let is_lowest = peers.iter().all(|peer| own.replica < peer.replica);
    if !is_complete || !may_form(own) || !is_lowest {
        return Verdict::Wait;
    }
    let voters = peers.iter().map(|peer| peer.replica).chain([own.replica]);
    Verdict::Form(voters.collect())
}

#[cfg(test)]
mod tests;
