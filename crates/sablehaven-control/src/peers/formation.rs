//! Formation of a deployment by new replicas.
//!
//! A replica with a new data folder forms a deployment only together with *all* configured peers, and only if each of
//! them is new too and may form one. A peer that has a log, or that does not answer, may belong to an existing
//! deployment. If a second one were formed, both could grant a claim to the same ledger key, and both could assign the
//! same version.
//!
//! Of the replicas that may form the deployment, the one with the lowest identity chooses the first voters, so that
//! there is only one set of them. Each of the others adopts this set if it is itself a member of it. A replica that
//! restarts with an empty disk finds peers that have a log, so it waits until an operator or the leader adds it to
//! their deployment.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use sablehaven_consensus::ReplicaId;
use tokio::time::sleep;

use super::introduction::{Introduction, PeerContext, probe};
use crate::driver::Input;

/// The pause between two rounds of probes.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// What a new replica does after one round of probes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Write the first log entry, with these voters.
    Form(BTreeSet<ReplicaId>),
    /// Probe again: a peer is missing or may not form a deployment, or another replica forms it.
    Wait,
}

/// Probes the peers until this replica is part of a deployment or its driver has ended.
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
            // A peer that does not answer is missing from the list, so the decision is to wait.
            if let Ok(peer) = probe(&context, *address).await {
                peers.push(peer);
            }
        }
        let decision = decide(&own, &peers, context.config.peers.len());
        if let Decision::Form(voters) = decision
            && !context.driver.send(Input::Form(voters)).await
        {
            return;
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Decides from the introductions of one round, in which `expected` peers were probed.
pub(crate) fn decide(own: &Introduction, peers: &[Introduction], expected: usize) -> Decision {
    let voter_sets = peers.iter().filter_map(|peer| peer.first_voters.as_ref());
    if let Some(voters) = voter_sets
        .into_iter()
        .find(|voters| voters.contains(&own.replica))
    {
        return Decision::Form(voters.clone());
    }
    let may_form = |replica: &Introduction| replica.may_bootstrap && !replica.is_formed;
    let all_may_form = peers.len() == expected && peers.iter().all(may_form);
    let is_lowest = peers.iter().all(|peer| own.replica < peer.replica);
    if !all_may_form || !may_form(own) || !is_lowest {
        return Decision::Wait;
    }
    let voters = peers.iter().map(|peer| peer.replica).chain([own.replica]);
    Decision::Form(voters.collect())
}

#[cfg(test)]
mod tests;
