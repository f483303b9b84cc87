//! Tests of which parts of a request may send.

use std::{cell::RefCell, rc::Rc, time::Duration};

use super::{CrashStatus, CrashTable, CrashWatch, SendDecision};

const REQUEST: u64 = 7;
const TYPICAL: Duration = Duration::from_millis(20);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn watch() -> (Rc<CrashWatch>, Rc<RefCell<CrashTable>>) {
    let table = Rc::default();
    (CrashWatch::new(REQUEST, Rc::clone(&table)), table)
}

fn lose_connections(watch: &CrashWatch, now: Duration, servers: u32) {
    for server in 0..servers {
        watch.record_lost_connection(now, &format!("server-{server}").into(), TYPICAL);
    }
}

#[test]
fn a_part_that_lost_its_server_waits_for_other_parts_for_a_limited_time() {
    let (watch, _) = watch();
    let _running = watch.start_attempt();
    lose_connections(&watch, ms(100), 1);
    assert!(matches!(
        watch.send_decision(ms(101), || 1),
        SendDecision::Wait(_)
    ));
    assert_eq!(watch.hold_until(ms(101)), Some(ms(100) + 2 * TYPICAL));
    assert!(matches!(
        watch.send_decision(ms(100) + 2 * TYPICAL, || 1),
        SendDecision::Send
    ));
}

#[test]
fn a_part_that_lost_its_server_does_not_wait_if_no_other_part_runs() {
    let (watch, _) = watch();
    drop(watch.start_attempt());
    lose_connections(&watch, ms(100), 1);
    assert!(matches!(
        watch.send_decision(ms(100), || 1),
        SendDecision::Send
    ));
}

#[test]
fn a_suspect_request_has_one_attempt_at_a_time_until_a_server_replies() {
    let (watch, table) = watch();
    lose_connections(&watch, ms(100), 3);
    let SendDecision::Trial(trial) = watch.send_decision(ms(100), || 1) else {
        panic!("not a trial");
    };
    assert!(matches!(
        watch.send_decision(ms(101), || 1),
        SendDecision::Wait(_)
    ));
    drop(trial);
    assert!(matches!(
        watch.send_decision(ms(102), || 1),
        SendDecision::Trial(_)
    ));
    watch.record_reply(ms(103));
    assert!(matches!(
        watch.send_decision(ms(103), || 1),
        SendDecision::Send
    ));
    assert_eq!(table.borrow().status(ms(103), REQUEST), CrashStatus::Clear);
}

#[test]
fn crashes_during_trials_refuse_the_request_and_its_later_tries() {
    let (watch, table) = watch();
    lose_connections(&watch, ms(100), 3);
    for _ in 0..2 {
        let SendDecision::Trial(trial) = watch.send_decision(ms(101), || 1) else {
            panic!("not a trial");
        };
        trial.record_lost_connection(ms(101), true);
    }
    assert!(matches!(
        watch.send_decision(ms(102), || 1),
        SendDecision::Refuse
    ));
    let later = CrashWatch::new(REQUEST, table);
    assert!(matches!(
        later.send_decision(ms(200), || 1),
        SendDecision::Refuse
    ));
}

#[test]
fn lost_trials_whose_servers_keep_running_refuse_only_this_try() {
    let (watch, table) = watch();
    lose_connections(&watch, ms(100), 3);
    for _ in 0..2 {
        let SendDecision::Trial(trial) = watch.send_decision(ms(101), || 1) else {
            panic!("not a trial");
        };
        trial.record_lost_connection(ms(101), false);
    }
    assert!(matches!(
        watch.send_decision(ms(102), || 1),
        SendDecision::Refuse
    ));
    let later = CrashWatch::new(REQUEST, table);
    assert!(matches!(
        later.send_decision(ms(200), || 1),
        SendDecision::Trial(_)
    ));
}

#[test]
fn lost_connections_after_a_reply_are_ignored() {
    let (watch, table) = watch();
    watch.record_reply(ms(100));
    lose_connections(&watch, ms(101), 5);
    assert!(matches!(
        watch.send_decision(ms(101), || 1),
        SendDecision::Send
    ));
    assert_eq!(table.borrow().status(ms(101), REQUEST), CrashStatus::Clear);
}

#[test]
fn the_part_with_the_most_spare_servers_gets_the_trial() {
    let (watch, _) = watch();
    lose_connections(&watch, ms(100), 3);
    let SendDecision::Trial(trial) = watch.send_decision(ms(100), || 1) else {
        panic!("not a trial");
    };
    let SendDecision::Wait(few) = watch.send_decision(ms(101), || 1) else {
        panic!("does not wait");
    };
    let SendDecision::Wait(many) = watch.send_decision(ms(101), || 2) else {
        panic!("does not wait");
    };
    drop(trial);
    drop(few);
    assert!(matches!(
        watch.send_decision(ms(102), || 1),
        SendDecision::Wait(_)
    ));
    drop(many);
    assert!(matches!(
        watch.send_decision(ms(102), || 2),
        SendDecision::Trial(_)
    ));
}

/// Guards against a query sending attempts for all of its parts at once although the request may crash servers and has
/// to send one at a time.
#[test]
fn all_parts_may_send_exactly_while_each_part_may_send() {
    let (watch, _) = watch();
    assert!(watch.may_all_parts_send(ms(100)));
    let _running = watch.start_attempt();
    lose_connections(&watch, ms(100), 1);
    assert!(matches!(
        watch.send_decision(ms(101), || 1),
        SendDecision::Wait(_)
    ));
    assert!(
        !watch.may_all_parts_send(ms(101)),
        "other attempts are running"
    );
    lose_connections(&watch, ms(102), 4);
    assert!(
        !watch.may_all_parts_send(ms(102) + 4 * TYPICAL),
        "the request is suspect"
    );
    watch.record_reply(ms(300));
    assert!(watch.may_all_parts_send(ms(300)));
}
