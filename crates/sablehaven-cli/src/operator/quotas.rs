//! What tenants have of their quotas, over all control replicas.

use std::{collections::BTreeMap, time::Duration};

use sablehaven_control::operator::{ControlStatus, QuotaUsage, ReplicaState, paths};
use sablehaven_types::TenantName;
use serde::Serialize;

use super::{Context, OperatorClient};
use crate::{
    error::{CommandError, ExitStatus},
    output::table,
};

/// Time in which a replica answers for its part; one that is down must not hold up the others' figures.
const REPLICA_LIMIT: Duration = Duration::from_millis(500);

/// What tenants have of their quotas.
#[derive(Debug, Serialize)]
struct QuotaReport {
    tenants: Vec<QuotaUsage>,
    /// Replicas whose part is not in the figures, and why.
    missing: Vec<String>,
}

pub(super) async fn quotas(context: &Context) -> Result<ExitStatus, CommandError> {
    let status: ControlStatus = context.client.get(paths::STATUS).await?;
    let mut parts = Vec::new();
    let mut missing = Vec::new();
    for replica in &status.replicas {
        match ask(replica).await {
            Ok(part) => parts.push(part),
            Err(error) => missing.push(format!("{}: {error}", replica.replica)),
        }
    }
    let report = QuotaReport {
        tenants: sum(parts),
        missing,
    };
    context.output.print(&report, || describe(&report))?;
    Ok(ExitStatus::Success)
}

async fn ask(replica: &ReplicaState) -> Result<Vec<QuotaUsage>, CommandError> {
    let client = OperatorClient::new(vec![replica.addresses.http], REPLICA_LIMIT)?;
    client.get(paths::QUOTAS).await
}

/// The parts of all replicas together, by tenant.
fn sum(parts: Vec<Vec<QuotaUsage>>) -> Vec<QuotaUsage> {
    let mut sums: BTreeMap<TenantName, QuotaUsage> = BTreeMap::new();
    for usage in parts.into_iter().flatten() {
        match sums.get_mut(&usage.tenant) {
            Some(sum) => {
                sum.granted += usage.granted;
                sum.refused += usage.refused;
                sum.tokens += usage.tokens;
            }
            None => {
                sums.insert(usage.tenant.clone(), usage);
            }
        }
    }
    sums.into_values().collect()
}

fn describe(report: &QuotaReport) -> String {
    let rows = report.tenants.iter().map(|usage| {
        let quota = usage.quota;
        [
            usage.tenant.to_string(),
            quota.map_or_else(|| "any".to_owned(), |quota| quota.per_second.to_string()),
            quota.map_or_else(String::new, |quota| quota.burst.to_string()),
            usage.granted.to_string(),
            usage.refused.to_string(),
            format!("{:.0}", usage.tokens),
        ]
    });
    let mut text = table(
        [
            "tenant", "a second", "burst", "granted", "refused", "left now",
        ],
        rows,
    );
    for replica in &report.missing {
        text.push_str(&format!("not in the figures: {replica}\n"));
    }
    text
}

#[cfg(test)]
mod tests;
