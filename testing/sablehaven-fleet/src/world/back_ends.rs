//! What can be done with the back ends of a running deployment, recorded.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use sablehaven_harness::Deployment;
use sablehaven_history::{BackendNotice, BackendNoticeKind, Event, PublishedSnapshot, Recorder};
use sablehaven_schema::fleet_file::{FleetFile, FleetSize};
use sablehaven_standins::{backend::HeldSnapshot, clock, host::AdminClient};
use sablehaven_types::{
    BackendId, BackendRecord, BackendState, IndexSnapshot, ServiceName, SnapshotId,
};

use super::{FleetError, Operations};

/// Time that a version may take to be in force everywhere before a rebuild is given up.
const IN_FORCE_LIMIT_MS: u64 = 30_000;

/// Time for which back ends keep a snapshot that is no longer pinned by new queries; longer than
/// any method's deadline.
const SNAPSHOT_GRACE: Duration = Duration::from_millis(2_500);

/// The back ends of a deployment; cheap to clone.
#[derive(Clone)]
pub struct BackEnds {
    admin: AdminClient,
    operations: Arc<Operations>,
    recorder: Recorder,
    fleet: FleetFile,
    size: FleetSize,
}

impl BackEnds {
    pub(super) fn new(
        deployment: &Deployment,
        operations: &Arc<Operations>,
        recorder: &Recorder,
    ) -> Self {
        Self {
            admin: deployment.admin().clone(),
            operations: Arc::clone(operations),
            recorder: recorder.clone(),
            fleet: deployment.plan().fleet.clone(),
            size: deployment.plan().size,
        }
    }

    /// Rebuilds the index of a service: the next generation with the same partition map. Back ends
    /// hold both until no query can be pinned to the old one.
    pub async fn rebuild(&self, service: &ServiceName) -> Result<SnapshotId, FleetError> {
        let current = self.snapshot(service).await?;
        let next = SnapshotId {
            generation: current.id.generation + 1,
            ..current.id
        };
        let shards = current.shards.clone();
        self.roll_over(service, &current, IndexSnapshot { id: next, shards })
            .await
    }

    /// Divides the index of a service into another number of shards.
    pub async fn repartition(
        &self,
        service: &ServiceName,
        shards: u32,
    ) -> Result<SnapshotId, FleetError> {
        let current = self.snapshot(service).await?;
        let fleet_service = self
            .fleet
            .services
            .iter()
            .find(|other| other.name == *service);
        let fleet_service = fleet_service
            .ok_or_else(|| FleetError::step("repartition", format!("no service {service}")))?;
        let next = IndexSnapshot {
            id: SnapshotId {
                generation: current.id.generation + 1,
                partition_map: current.id.partition_map + 1,
            },
            shards: fleet_service.partition_map(shards, &self.size),
        };
        self.roll_over(service, &current, next).await
    }

    async fn roll_over(
        &self,
        service: &ServiceName,
        current: &IndexSnapshot,
        next: IndexSnapshot,
    ) -> Result<SnapshotId, FleetError> {
        let admin = &self.admin;
        for (backend, held) in held_by_backend(&next) {
            admin.hold(&backend, &held).await?;
        }
        // Recorded before it is published: an answer may name it before the operator's reply is read.
        self.recorder.record(published(service, &next));
        let version = self.operations.publish(service, &next, "rebuild").await?;
        if !self
            .operations
            .wait_in_force(version, IN_FORCE_LIMIT_MS)
            .await?
        {
            let reason = format!("version {version} is not in force everywhere");
            return Err(FleetError::step("roll over", reason));
        }
        tokio::time::sleep(SNAPSHOT_GRACE).await;
        for (backend, _) in held_by_backend(current) {
            admin.drop_snapshot(&backend, current.id).await?;
        }
        Ok(next.id)
    }

    async fn snapshot(&self, service: &ServiceName) -> Result<IndexSnapshot, FleetError> {
        let mut configuration = self.operations.configuration().await?;
        let found = configuration.services.remove(service);
        let found = found.ok_or_else(|| FleetError::step("read", format!("no service {service}")));
        Ok(found?.snapshot)
    }

    /// The back ends of a service.
    pub async fn backends(&self, service: &ServiceName) -> Result<Vec<BackendRecord>, FleetError> {
        let report = self.admin.host().await?;
        let all = report.backends.into_iter();
        Ok(all.filter(|record| record.service == *service).collect())
    }

    /// Loses a back end at once; the platform notices after its lag.
    pub async fn lose(&self, backend: &BackendId) -> Result<(), FleetError> {
        let admin = &self.admin;
        admin.lose(backend).await?;
        admin.platform_remove(backend).await?;
        Ok(())
    }

    /// Lets a back end leave: it says so itself, and the platform lists it as leaving after its lag.
    pub async fn leave(&self, backend: &BackendRecord) -> Result<(), FleetError> {
        let admin = &self.admin;
        admin.drain(&backend.id).await?;
        self.notice(&backend.id, BackendNoticeKind::Leaving);
        let leaving = BackendRecord {
            state: BackendState::Leaving,
            ..backend.clone()
        };
        admin.platform_list(&leaving).await?;
        Ok(())
    }

    /// Starts a lost or drained back end again, cold, as its next incarnation.
    pub async fn restore(&self, backend: &BackendRecord) -> Result<(), FleetError> {
        let admin = &self.admin;
        // Recorded before it takes work: nobody may send to it after the notice by mistake.
        self.notice(&backend.id, BackendNoticeKind::Returned);
        admin.restore(&backend.id).await?;
        let report = admin.host().await?;
        let mut all = report.backends.into_iter();
        if let Some(record) = all.find(|record| record.id == backend.id) {
            admin.platform_list(&record).await?;
        }
        Ok(())
    }

    fn notice(&self, backend: &BackendId, kind: BackendNoticeKind) {
        self.recorder.record(Event::Backend(BackendNotice {
            backend: backend.clone(),
            at: clock::now(),
            kind,
        }));
    }
}

/// The event of a published snapshot.
pub(super) fn published(service: &ServiceName, snapshot: &IndexSnapshot) -> Event {
    Event::Snapshot(PublishedSnapshot {
        service: service.clone(),
        snapshot: snapshot.id,
        shards: snapshot
            .shards
            .iter()
            .map(|assignment| assignment.shard)
            .collect(),
    })
}

/// What each back end holds of a snapshot.
fn held_by_backend(snapshot: &IndexSnapshot) -> Vec<(BackendId, HeldSnapshot)> {
    let mut by_backend = BTreeMap::<BackendId, BTreeSet<_>>::new();
    for assignment in &snapshot.shards {
        for replica in &assignment.replicas {
            let shards = by_backend.entry(replica.clone()).or_default();
            shards.insert(assignment.shard);
        }
    }
    let held = by_backend.into_iter().map(|(backend, shards)| {
        let snapshot = snapshot.id;
        (backend, HeldSnapshot { snapshot, shards })
    });
    held.collect()
}
