//! Operator command that shows the quota usage of tenants, summed over all control replicas.

use std::{collections::BTreeMap, time::Duration};

use sablehaven_control::operator::{ControlStatus, QuotaUsage, ReplicaState, paths};
use sablehaven_types::TenantName;
use serde::Serialize;

use super::{Context, OperatorClient};
use crate::{
    error::{CommandError, ExitStatus},
    output::table,
};

/// Time for which an unavailable replica is retried. It is short so that a replica that is down does not
/// delay the usage of the others.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(500);

/// Quota usage of all tenants.
#[derive(Debug, Serialize)]
struct QuotaReport {
    tenants: Vec<QuotaUsage>,
    /// Replicas whose usage is not included in `tenants`, each with the reason.
    missing: Vec<String>,
}

pub(super) async fn quotas(context: &Context) -> Result<ExitStatus, CommandError> {
    let status: ControlStatus = context.client.get(paths::STATUS).await?;
    let mut usages = Vec::new();
    let mut missing = Vec::new();
    for replica in &status.replicas {
        match fetch_usage(replica).await {
            Ok(usage) => usages.push(usage),
            Err(error) => missing.push(format!("{}: {error}", replica.replica)),
        }
    }
    let report = QuotaReport {
        tenants: sum_by_tenant(usages),
        missing,
    };
    context.output.print(&report, || describe(&report))?;
    Ok(ExitStatus::Success)
}

async fn fetch_usage(replica: &ReplicaState) -> Result<Vec<QuotaUsage>, CommandError> {
    let client = OperatorClient::new(vec![replica.addresses.http], REPLICA_TIMEOUT)?;
    client.get(paths::QUOTAS).await
}

/// Adds up the usage of all replicas by tenant.
fn sum_by_tenant(usages: Vec<Vec<QuotaUsage>>) -> Vec<QuotaUsage> {
    let mut sums: BTreeMap<TenantName, QuotaUsage> = BTreeMap::new();
    for usage in usages.into_iter().flatten() {
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
            quota.map_or_else(
                || "unlimited".to_owned(),
                |quota| quota.per_second.to_string(),
            ),
            quota.map_or_else(String::new, |quota| quota.burst.to_string()),
            usage.granted.to_string(),
            usage.refused.to_string(),
            format!("{:.0}", usage.tokens),
        ]
    });
    let mut text = table(
        [
            "tenant",
            "per second",
            "burst",
            "granted",
            "refused",
            "tokens left",
        ],
        rows,
    );
    for replica in &report.missing {
        text.push_str(&format!("not included in the sums: {replica}\n"));
    }
    text
}

#[cfg(test)]
mod tests;
