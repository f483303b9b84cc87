//! Requests that may not be repeated, and planned stops, when processes die at the worst moment.

mod support;

use sablehaven_control::operator::paths;
use sablehaven_faults::Faults;
use sablehaven_harness::{Deployment, HarnessError, HttpAnswer, now_ms, until};
use sablehaven_standins::backend::Behaviour;
use sablehaven_types::{ClaimAnswer, LedgerKey, Outcome};
use serde_json::{Value, json};
use support::{RESERVE_PALLET, SEARCH_STOCK, small_plan, start};
use tokio::task::JoinHandle;

/// Requests that may wait at a back end where a test must not meet sheds.
const LONG_QUEUE: u32 = 1_000;

/// One reservation, as its caller sends it again and again.
#[derive(Clone)]
struct Reservation {
    request_id: &'static str,
    issued_at_ms: u64,
}

impl Reservation {
    fn new(request_id: &'static str) -> Self {
        Self {
            request_id,
            issued_at_ms: now_ms(),
        }
    }

    fn body() -> Value {
        json!({"depot_id": "depot-4", "pallet_id": "pallet-1", "pantry_id": "pantry-1"})
    }

    fn key(&self) -> LedgerKey {
        LedgerKey {
            caller: "integration".into(),
            request: self.request_id.into(),
            issued_at_ms: self.issued_at_ms,
        }
    }

    fn send(
        &self,
        deployment: &Deployment,
        agent: usize,
    ) -> JoinHandle<Result<HttpAnswer, HarnessError>> {
        let caller = deployment.caller(agent);
        let this = self.clone();
        tokio::spawn(async move {
            caller
                .once(
                    RESERVE_PALLET,
                    this.request_id,
                    this.issued_at_ms,
                    &Self::body(),
                )
                .await
        })
    }

    async fn resend(&self, deployment: &Deployment, agent: usize) -> HttpAnswer {
        let caller = deployment.caller(agent);
        let body = Self::body();
        let sent = caller.resend(RESERVE_PALLET, self.request_id, self.issued_at_ms, &body);
        sent.await.expect("the agent answers")
    }

    async fn recorded(&self, deployment: &Deployment) -> Result<ClaimAnswer, String> {
        let operator = deployment.operator().map_err(|error| error.to_string())?;
        let answer = operator.post(paths::LOOK_UP, &self.key()).await;
        answer.map_err(|error| error.to_string())
    }

    async fn runs(&self, deployment: &Deployment) -> usize {
        let executions = deployment.admin().executions(0).await.expect("executions");
        let key = Some(self.key());
        let runs = executions.iter();
        runs.filter(|record| record.once_key == key && record.ran())
            .count()
    }
}

async fn set_behaviour_everywhere(deployment: &Deployment, behaviour: &Behaviour) {
    let backends = deployment.admin().backends().await.expect("back ends");
    for backend in backends {
        let set = deployment
            .admin()
            .behave(&backend.record.id, behaviour)
            .await;
        set.expect("the behaviour is set");
    }
}

async fn wait_until_running(deployment: &Deployment, requests: u32) {
    until("requests are running", || async {
        let backends = deployment.admin().backends().await;
        let backends = backends.map_err(|error| error.to_string())?;
        match backends.iter().map(|backend| backend.running).sum::<u32>() {
            running if running >= requests => Ok(()),
            running => Err(format!("{running} are running")),
        }
    })
    .await
    .expect("requests are running");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_dies_between_claim_and_dispatch_leaves_a_request_that_never_runs() {
    let mut deployment = start(small_plan()).await;
    let reservation = Reservation::new("claimed-only");
    let source = deployment.agents[0].source();
    for relay in &deployment.relays {
        let no_replies = Faults::cut(sablehaven_faults::Direction::Backward);
        relay.internal_proxy().set_faults_from(source, no_replies);
    }
    let lost_call = reservation.send(&deployment, 0);
    until("the claim is committed", || async {
        match reservation.recorded(&deployment).await? {
            ClaimAnswer::Held => Ok(()),
            other => Err(format!("{other:?}")),
        }
    })
    .await
    .expect("the claim is committed");
    deployment.agents[0].kill().await.expect("kill");
    assert!(lost_call.await.expect("the task ends").is_err());
    deployment.heal();

    for agent in [1, 2, 1] {
        let answer = reservation.resend(&deployment, agent).await;
        assert_eq!(answer.envelope.outcome, Outcome::Unknown, "{answer:?}");
        assert!(answer.envelope.retry_after_ms.is_some(), "{answer:?}");
    }
    assert_eq!(reservation.runs(&deployment).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_dies_between_dispatch_and_reply_leaves_a_request_that_ran_once() {
    let mut deployment = start(small_plan()).await;
    let reservation = Reservation::new("dispatched");
    let stuck = Behaviour {
        stuck: true,
        ..Behaviour::default()
    };
    set_behaviour_everywhere(&deployment, &stuck).await;
    let lost_call = reservation.send(&deployment, 0);
    wait_until_running(&deployment, 1).await;
    deployment.agents[0].kill().await.expect("kill");
    assert!(lost_call.await.expect("the task ends").is_err());
    set_behaviour_everywhere(&deployment, &Behaviour::default()).await;

    for agent in [1, 2, 1] {
        let answer = reservation.resend(&deployment, agent).await;
        assert_eq!(answer.envelope.outcome, Outcome::Unknown, "{answer:?}");
    }
    until("the back end has noticed the loss", || async {
        match reservation.runs(&deployment).await {
            1 => Ok(()),
            runs => Err(format!("{runs} runs")),
        }
    })
    .await
    .expect("it ran once");
}

#[tokio::test(flavor = "multi_thread")]
async fn replies_that_belong_elsewhere_are_never_part_of_an_answer() {
    use sablehaven_standins::backend::BadReply;
    let deployment = start(small_plan()).await;
    let kinds = [
        BadReply::WrongAttempt,
        BadReply::WrongShard,
        BadReply::WrongSnapshot,
        BadReply::TruncatedBody,
        BadReply::Garbage,
    ];
    for bad_reply in kinds {
        let behaviour = Behaviour {
            bad_reply_per_mille: 1_000,
            bad_reply,
            ..Behaviour::default()
        };
        set_behaviour_everywhere(&deployment, &behaviour).await;
        let answer = deployment
            .caller(0)
            .query(SEARCH_STOCK, &json!({"text": "pasta"}))
            .await
            .expect("an answer");
        let coverage = answer.envelope.coverage.expect("coverage");
        assert!(coverage.answered.is_empty(), "{bad_reply:?}: {coverage:?}");
        assert_eq!(coverage.missing.len(), 16, "{bad_reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_an_agent_interrupts_no_request_in_flight() {
    let mut plan = small_plan();
    for service in &mut plan.fleet.services {
        service.queue_per_server = LONG_QUEUE;
    }
    let mut deployment = start(plan).await;
    let slow = Behaviour {
        slow_factor: 300.0,
        ..Behaviour::default()
    };
    set_behaviour_everywhere(&deployment, &slow).await;
    let calls: Vec<_> = (0..8)
        .map(|_| {
            let caller = deployment.caller(0);
            tokio::spawn(async move { caller.query(SEARCH_STOCK, &json!({"text": "oil"})).await })
        })
        .collect();
    let reservation = Reservation::new("during-the-stop");
    let once = reservation.send(&deployment, 0);
    wait_until_running(&deployment, 8).await;
    let exit = deployment.agents[0].stop().await.expect("stop");
    assert!(exit.success(), "{exit}: {}", deployment.agents[0].errors());
    for call in calls {
        let answer = call.await.expect("the task ends").expect("an answer");
        assert_eq!(answer.envelope.outcome, Outcome::Done, "{answer:?}");
    }
    let answer = once.await.expect("the task ends").expect("an answer");
    assert_ne!(answer.envelope.outcome, Outcome::Unknown, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_relay_loses_no_ledger_call() {
    let mut deployment = start(small_plan()).await;
    let calls: Vec<_> = (0..12)
        .map(|index| {
            let caller = deployment.caller(index % 3);
            let id = format!("around-the-stop-{index}");
            tokio::spawn(async move {
                caller
                    .once(RESERVE_PALLET, &id, now_ms(), &Reservation::body())
                    .await
            })
        })
        .collect();
    let exit = deployment.relays[0].stop().await.expect("stop");
    assert!(exit.success(), "{exit}: {}", deployment.relays[0].errors());
    for call in calls {
        let answer = call.await.expect("the task ends").expect("an answer");
        assert_eq!(answer.envelope.outcome, Outcome::Done, "{answer:?}");
    }
}
