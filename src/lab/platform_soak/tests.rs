//! Tests of the soak test itself: the checks on hand-made records, the plan, and the proxy.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::fault_plan::{PartCounts, SoakAction, plan_waves};
use super::fault_proxy::{FaultProxy, HostCallPolicy};
use super::machine_limits::{is_nearly_exhausted, parse_descriptor_limit};
use super::run_journal::{
    ActionRecord, CallEnd, CallKind, CallRecord, EvacuationSpan, KeyRecord, PlannedWork,
    RunRecords, SoakPart, WorkRecord,
};
use super::run_judge::judge;
use crate::platform::{BackendRun, EngineLoad, RETRY_EXTRA, RequestArrival, RunEnd};
use crate::time::ClockTime;

const KEY: &str = "key";
const REVOKED_KEY: &str = "revoked key";
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Far longer than an exchange on loopback takes.
const WAIT_MAX: Duration = Duration::from_secs(5);

const fn at(seconds: u64) -> ClockTime {
    ClockTime::from_millis(1_000_000 + seconds * 1000)
}

fn call(attempt: &str, kind: CallKind, sent: u64, end: CallEnd) -> CallRecord {
    CallRecord {
        attempt: attempt.to_owned(),
        entry: 0,
        kind,
        secret: KEY.to_owned(),
        timeout: CALL_TIMEOUT,
        harmful_part: None,
        sent: at(sent),
        end: Some((end, at(sent + 1))),
    }
}

fn run(attempt: &str, version: Option<u64>, begun: u64) -> BackendRun {
    BackendRun {
        attempt: attempt.to_owned(),
        backend: 0,
        account: Some("a".to_owned()),
        has_key: false,
        version,
        harmful_part: None,
        begun: at(begun),
        end: None,
    }
}

/// Records with two keys of the account `a`, one of them revoked in second 100, and a target update
/// to version 2 in second 100.
fn records() -> RunRecords {
    let key = |secret: &str, revoked| KeyRecord {
        secret: secret.to_owned(),
        account: "a",
        added: at(0),
        revoked,
    };
    RunRecords {
        keys: vec![key(KEY, None), key(REVOKED_KEY, Some(at(100)))],
        target_updates: vec![(1, at(0)), (2, at(100))],
        ..RunRecords::default()
    }
}

fn broken(records: &RunRecords) -> Vec<&'static str> {
    let (_, breaches) = judge(records, &[]);
    breaches.iter().map(|breach| breach.promise).collect()
}

fn disturbed(part: SoakPart, from: u64, until: u64) -> ActionRecord {
    ActionRecord {
        parts: vec![part],
        text: String::new(),
        is_planned: false,
        begun: at(from),
        ended: Some(at(until)),
    }
}

#[test]
fn only_an_unrepeatable_call_that_ran_twice_breaks_a_promise() {
    let mut records = records();
    for kind in [
        CallKind::Read,
        CallKind::Write,
        CallKind::Stream,
        CallKind::ResumableStream,
    ] {
        let name = format!("{kind:?}");
        records.calls.push(call(&name, kind, 50, CallEnd::Complete));
        records
            .runs
            .extend([run(&name, None, 50), run(&name, None, 51)]);
    }
    assert_eq!(broken(&records), ["once", "once"]);
}

/// Guards against second sends of which each entry host sees too few to exceed the budget.
#[test]
fn second_sends_of_all_entry_hosts_together_keep_to_the_budget() {
    // The calls allow two second sends beyond the fixed number, wherever they are sent.
    for (excess, sent, breaches) in [
        (2, 99, vec![]),
        (3, 99, vec!["retry budget"]),
        (3, 80, vec![]),
    ] {
        let mut records = records();
        let kinds = [CallKind::Read, CallKind::ResumableStream];
        for (number, entry) in (0..40).flat_map(|number| [(number, 0), (number, 1)]) {
            let attempt = format!("{number} at {entry}");
            let kind = kinds[entry];
            let call = call(&attempt, kind, sent, CallEnd::Complete);
            records.calls.push(CallRecord { entry, ..call });
        }
        let arrival = |second| RequestArrival {
            attempt: "0 at 0".to_owned(),
            at: at(second),
        };
        let second_sends = usize::try_from(RETRY_EXTRA).unwrap_or(0) + excess;
        records.arrivals = vec![arrival(100)];
        records.arrivals.extend(vec![arrival(105); second_sends]);
        if sent == 80 {
            records.arrivals.drain(1..=excess);
        }
        assert_eq!(broken(&records), breaches, "{excess} more, sent at {sent}");
    }
}

#[test]
fn a_call_runs_in_no_evacuated_data_centre_past_the_deadline() {
    for (sent, backend, is_breach) in [
        (104, 1, false),
        (106, 1, true),
        (106, 0, false),
        (121, 1, false),
    ] {
        let mut records = records();
        records.evacuations = vec![EvacuationSpan {
            confirmed: at(100),
            ended: Some(at(120)),
        }];
        records
            .calls
            .push(call("a", CallKind::Read, sent, CallEnd::Complete));
        let mut run = run("a", None, sent);
        run.backend = backend;
        records.runs.push(run);
        let promises = if is_breach {
            vec!["evacuation"]
        } else {
            Vec::new()
        };
        assert_eq!(broken(&records), promises, "{sent} {backend}");
    }
}

#[test]
fn a_call_with_a_home_region_runs_nowhere_else() {
    for (kind, backend, is_breach) in [
        (CallKind::Write, 0, false),
        (CallKind::Write, 1, true),
        (CallKind::Read, 1, false),
    ] {
        let mut records = records();
        records.calls.push(call("a", kind, 50, CallEnd::Complete));
        let mut run = run("a", None, 50);
        run.backend = backend;
        records.runs.push(run);
        let promises = if is_breach { vec!["home"] } else { Vec::new() };
        assert_eq!(broken(&records), promises, "{kind:?} {backend}");
    }
}

#[test]
fn a_call_answered_as_not_run_must_never_run() {
    for (status, promises) in [(429, 1), (503, 1), (408, 1), (421, 1), (502, 0), (504, 0)] {
        let mut records = records();
        let end = CallEnd::Refused(status);
        records.calls.push(call("c", CallKind::Read, 50, end));
        records.runs.push(run("c", None, 60));
        assert_eq!(broken(&records).len(), promises, "{status}");
    }
}

#[test]
fn a_run_without_a_call_or_for_another_account_breaks_a_promise() {
    let mut records = records();
    records.runs.push(run("unsent", None, 50));
    let mut foreign = run("c", None, 50);
    foreign.account = Some("b".to_owned());
    records
        .calls
        .push(call("c", CallKind::Read, 50, CallEnd::Complete));
    records.runs.push(foreign);
    assert_eq!(broken(&records), ["account", "unasked"]);
}

#[test]
fn a_previous_version_after_the_deadline_breaks_a_promise_if_its_path_was_undisturbed() {
    let late = |actions: Vec<ActionRecord>, version, begun| {
        let mut records = records();
        records.actions = actions;
        records
            .calls
            .push(call("c", CallKind::Stream, begun, CallEnd::Complete));
        records.runs.push(run("c", Some(version), begun));
        broken(&records).len()
    };
    assert_eq!(late(Vec::new(), 1, 109), 1);
    assert_eq!(late(Vec::new(), 2, 109), 0);
    assert_eq!(late(Vec::new(), 1, 108), 0, "the deadline has not passed");
    assert_eq!(late(vec![disturbed(SoakPart::Store, 97, 99)], 1, 109), 0);
    assert_eq!(late(vec![disturbed(SoakPart::Store, 90, 97)], 1, 109), 1);
    assert_eq!(
        late(vec![disturbed(SoakPart::Backend(0), 105, 106)], 1, 109),
        0
    );
    assert_eq!(
        late(vec![disturbed(SoakPart::Backend(1), 105, 106)], 1, 109),
        1
    );
    assert_eq!(late(vec![disturbed(SoakPart::Host(0), 90, 120)], 1, 109), 1);
}

#[test]
fn a_revoked_key_must_be_refused_and_a_valid_one_must_not() {
    let ended = |secret: &str, sent, end| {
        let mut records = records();
        let mut call = call("c", CallKind::Read, sent, end);
        call.secret = secret.to_owned();
        records.calls.push(call);
        broken(&records).len()
    };
    assert_eq!(ended(REVOKED_KEY, 103, CallEnd::Complete), 1);
    assert_eq!(ended(REVOKED_KEY, 101, CallEnd::Complete), 0);
    assert_eq!(ended(REVOKED_KEY, 103, CallEnd::Refused(401)), 0);
    assert_eq!(ended(KEY, 103, CallEnd::Refused(401)), 1);
}

/// Records with a stream that was sent in second 50, ran at backend server 0 and ended incomplete
/// in second 51, and with `work` in second `sent`.
fn cut_during(work: PlannedWork, sent: u64) -> RunRecords {
    let mut records = records();
    let end = CallEnd::Broken("");
    records.calls.push(call("c", CallKind::Stream, 50, end));
    records.runs.push(run("c", None, 50));
    records.planned_work.push(WorkRecord {
        work,
        sent: at(sent),
        confirmed: at(sent),
    });
    records
}

#[test]
fn a_response_cut_during_planned_work_breaks_a_promise() {
    let windows = [
        (PlannedWork::Stop(0), 42, 51),
        (PlannedWork::Reload(0), 48, 50),
        (PlannedWork::Document, 48, 51),
    ];
    for (work, first, last) in windows {
        for sent in first..=last {
            let records = cut_during(work, sent);
            assert_eq!(broken(&records), ["unfinished"], "{work:?} {sent}");
            assert_eq!(judge(&records, &[]).0.beside_work, 1);
        }
        for sent in [first - 1, last + 1] {
            let records = cut_during(work, sent);
            assert!(broken(&records).is_empty(), "{work:?} {sent}");
            let counts = judge(&records, &[]).0;
            assert_eq!((counts.aside, counts.cut_aside), (1, 1));
        }
    }
    for work in [PlannedWork::Stop(1), PlannedWork::Reload(1)] {
        assert!(broken(&cut_during(work, 50)).is_empty(), "{work:?}");
    }
}

#[test]
fn an_incomplete_response_with_another_possible_cause_breaks_no_promise() {
    let checked = |change: &dyn Fn(&mut RunRecords)| {
        let mut records = cut_during(PlannedWork::Stop(0), 50);
        change(&mut records);
        (broken(&records).len(), judge(&records, &[]).0.beside_work)
    };
    assert_eq!(checked(&|_| {}), (1, 1));
    assert_eq!(checked(&|records| records.runs.clear()), (0, 0));
    for end in [CallEnd::Complete, CallEnd::Refused(502)] {
        let ended = |records: &mut RunRecords| records.calls[0].end = Some((end.clone(), at(51)));
        assert_eq!(checked(&ended), (0, 1), "{end:?}");
    }
    let abandoned = |records: &mut RunRecords| {
        records.calls[0].end = Some((CallEnd::Abandoned, at(51)));
    };
    assert_eq!(checked(&abandoned), (0, 0));
    let crashed = |records: &mut RunRecords| {
        records.runs[0].end = Some((RunEnd::Crashed, at(51)));
    };
    assert_eq!(checked(&crashed), (0, 1));
    let late = |records: &mut RunRecords| {
        records.calls[0].sent = at(41);
        records.planned_work[0].sent = at(45);
    };
    assert_eq!(checked(&late), (0, 1), "the timeout may have ended it");
}

#[test]
fn an_incomplete_response_breaks_a_promise_only_without_faults_on_its_path() {
    let counted = |action: ActionRecord| {
        let mut records = cut_during(PlannedWork::Document, 50);
        records.actions.push(action);
        broken(&records).len()
    };
    let path = [SoakPart::Store, SoakPart::Entry(0), SoakPart::Backend(0)];
    for part in path {
        assert_eq!(counted(disturbed(part, 47, 47)), 0, "{part:?}");
        assert_eq!(counted(disturbed(part, 51, 60)), 0, "{part:?}");
        assert_eq!(counted(disturbed(part, 40, 46)), 1, "{part:?}");
        assert_eq!(counted(disturbed(part, 52, 60)), 1, "{part:?}");
        let mut planned = disturbed(part, 50, 51);
        planned.is_planned = true;
        assert_eq!(counted(planned), 1, "{part:?}");
    }
    for part in [SoakPart::Entry(1), SoakPart::Backend(1), SoakPart::Host(0)] {
        assert_eq!(counted(disturbed(part, 50, 51)), 1, "{part:?}");
    }
}

#[test]
fn a_document_is_not_blamed_for_a_call_that_used_seven_tenths_of_its_timeout() {
    let counted = |work, sent, ended| {
        let mut records = cut_during(work, 50);
        records.calls[0].sent = at(sent);
        records.calls[0].end = Some((CallEnd::Broken(""), at(ended)));
        broken(&records).len()
    };
    assert_eq!(counted(PlannedWork::Document, 45, 51), 1);
    assert_eq!(counted(PlannedWork::Document, 44, 51), 0);
    assert_eq!(counted(PlannedWork::Stop(0), 44, 51), 1);
    assert_eq!(counted(PlannedWork::Reload(0), 44, 51), 1);
}

#[test]
fn a_stop_may_cut_a_run_in_the_last_sixth_of_its_grace_period() {
    let counted = |sent, ended, run_end| {
        let mut records = cut_during(PlannedWork::Stop(0), 50);
        records.calls[0].sent = at(sent);
        records.calls[0].end = Some((CallEnd::Broken(""), at(ended)));
        records.runs[0].end = Some((RunEnd::CallerDisconnected, at(run_end)));
        broken(&records).len()
    };
    assert_eq!(counted(53, 57, 57), 0);
    assert_eq!(counted(53, 56, 56), 1);
    assert_eq!(counted(54, 57, 57), 1, "the call was sent too late");
    assert_eq!(counted(53, 57, 56), 1, "the run had ended");
}

#[test]
fn a_document_is_not_blamed_for_a_cut_at_the_end_of_the_grace_period() {
    let mut records = cut_during(PlannedWork::Stop(0), 50);
    records.calls[0].sent = at(53);
    records.calls[0].end = Some((CallEnd::Broken(""), at(57)));
    records.planned_work.push(WorkRecord {
        work: PlannedWork::Document,
        sent: at(56),
        confirmed: at(56),
    });
    assert!(broken(&records).is_empty());
    records.planned_work.remove(0);
    assert_eq!(broken(&records), ["unfinished"]);
}

#[test]
fn service_that_does_not_recover_breaks_a_promise() {
    let mut records = records();
    for number in 0..10 {
        let end = if number < 8 {
            CallEnd::Complete
        } else {
            CallEnd::Refused(503)
        };
        records
            .calls
            .push(call(&format!("c{number}"), CallKind::Read, 50, end));
    }
    let quiet_periods = [(at(30), at(60))];
    assert_eq!(judge(&records, &quiet_periods).1.len(), 1);
    // The calls were sent before service had to have recovered.
    let quiet_periods = [(at(45), at(60))];
    let counts = judge(&records, &quiet_periods).0;
    assert_eq!(counts.after_recovery, 0);
}

// A run with 60 processes reported that service did not recover, but its own process had no file
// descriptors left.
#[test]
fn exhausted_descriptors_are_distinguished_from_broken_promises() {
    let text = "Limit          Soft Limit  Hard Limit  Units\n\
                Max processes  128050      128050      processes\n\
                Max open files 20000       30000       files\n";
    assert_eq!(parse_descriptor_limit(text), Some(20_000));
    assert_eq!(
        parse_descriptor_limit("Max open files unlimited unlimited files"),
        None
    );
    assert!(is_nearly_exhausted(19_000, 20_000));
    assert!(!is_nearly_exhausted(18_999, 20_000));
}

#[test]
fn the_same_seed_gives_the_same_plan() {
    let parts = PartCounts {
        entries: 3,
        hosts: 5,
        backends: 8,
    };
    let parts = (parts, EngineLoad::Heavy { seed: 7 });
    assert_eq!(plan_waves(7, 20, parts), plan_waves(7, 20, parts));
    assert_ne!(plan_waves(7, 20, parts), plan_waves(8, 20, parts));
    let faults = plan_waves(7, 20, parts)
        .into_iter()
        .flat_map(|wave| wave.faults);
    let stops = faults.filter(|planned| matches!(planned.action, SoakAction::Stop(_)));
    assert!(stops.count() > 0);
}

/// Starts an echo server and a proxy in front of it; returns the proxy and its address.
async fn echo_behind_proxy() -> (FaultProxy, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (mut read, mut write) = stream.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut read, &mut write).await });
        }
    });
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = free.local_addr().expect("the listener is bound");
    drop(free);
    let proxy = FaultProxy::start(address, target, HostCallPolicy::Absent).await;
    (proxy.expect("the proxy starts"), address)
}

async fn exchange(stream: &mut TcpStream, within: Duration) -> Option<std::io::Result<usize>> {
    let mut answer = [0; 4];
    let exchanged = async {
        stream.write_all(b"word").await?;
        stream.read_exact(&mut answer).await
    };
    timeout(within, exchanged).await.ok()
}

#[tokio::test]
async fn a_proxy_withholds_silences_and_resets_connections() {
    let (proxy, address) = echo_behind_proxy().await;
    let mut open = TcpStream::connect(address)
        .await
        .expect("the proxy listens");
    let answered = exchange(&mut open, WAIT_MAX).await;
    assert!(matches!(answered, Some(Ok(4))));

    proxy.change(|rule| rule.holds_responses = true);
    assert!(
        exchange(&mut open, Duration::from_millis(200))
            .await
            .is_none()
    );
    proxy.change(|rule| rule.holds_responses = false);
    let mut delayed = [0; 4];
    let released = timeout(WAIT_MAX, open.read_exact(&mut delayed)).await;
    assert!(matches!(released, Ok(Ok(4))), "withheld bytes arrive");

    proxy.silence_open();
    assert!(
        exchange(&mut open, Duration::from_millis(200))
            .await
            .is_none()
    );
    let mut fresh = TcpStream::connect(address)
        .await
        .expect("the proxy listens");
    let answered = exchange(&mut fresh, WAIT_MAX).await;
    assert!(matches!(answered, Some(Ok(4))), "new connections work");

    proxy.reset_open();
    let ended = timeout(WAIT_MAX, fresh.read(&mut delayed)).await;
    assert!(
        matches!(ended, Ok(Err(_))),
        "the connection is reset, not closed: {ended:?}"
    );
}

// Callers reset the connections of requests that they abandon. The proxy left the target side of
// each such connection open until the process ran out of file descriptors.
#[tokio::test]
async fn a_proxy_resets_the_target_side_when_the_caller_resets_its_side() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("the listener is bound");
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = free.local_addr().expect("the listener is bound");
    drop(free);
    let proxy = FaultProxy::start(address, target, HostCallPolicy::Absent).await;
    let _proxy = proxy.expect("the proxy starts");

    let caller = TcpStream::connect(address)
        .await
        .expect("the proxy listens");
    let (mut target_side, _) = listener.accept().await.expect("the proxy connects");
    caller.set_zero_linger().expect("the connection is open");
    drop(caller);
    let ended = timeout(WAIT_MAX, target_side.read(&mut [0; 4])).await;
    assert!(
        matches!(ended, Ok(Err(_))),
        "the target side stays open: {ended:?}"
    );
}

/// Records of `calls` calls with the harmful part, one each second from second 50 on, each of which
/// crashed an engine.
fn harmful_records(calls: u64) -> RunRecords {
    let mut records = records();
    for number in 0..calls {
        let (name, second) = (format!("h{number}"), 50 + number);
        let end = CallEnd::Broken("crashed");
        let mut call = call(&name, CallKind::ResumableStream, second, end);
        let mut run = run(&name, None, second);
        call.harmful_part = Some("bad0001".to_owned());
        run.harmful_part = call.harmful_part.clone();
        run.end = Some((RunEnd::Crashed, at(second)));
        records.calls.push(call);
        records.runs.push(run);
    }
    records
}

/// Guards against a soak that passes although engines keep crashing under requests with one part.
#[test]
fn runs_with_a_harmful_part_are_allowed_until_it_is_known() {
    // The fifth crash is in second 54; runs count from second 58 on.
    assert!(broken(&harmful_records(11)).is_empty());
    assert_eq!(broken(&harmful_records(12)), ["harmful part"]);
    let mut records = harmful_records(12);
    records.actions.push(disturbed(SoakPart::Entry(0), 50, 70));
    assert!(broken(&records).is_empty());
}
