//! Tests of the soak itself: the judge on records made by hand, the plan, the proxy.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::fault_plan::{PartCounts, SoakDeed, plan_waves};
use super::fault_proxy::{FaultProxy, HostCalls};
use super::machine_limits::{is_used_up, read_limit};
use super::run_journal::{
    CallEnd, CallKind, CallRecord, DeedRecord, KeyLife, PlannedWork, RunRecords, SoakPart,
    WorkRecord,
};
use super::run_judge::judge;
use crate::platform::{BackendRun, EngineLoad, RunEnd};
use crate::time::ClockTime;

const KEY: &str = "key";
const REVOKED_KEY: &str = "revoked key";
/// How long a call may take.
const CALL_TIME: Duration = Duration::from_secs(10);
/// Far longer than bytes take on loopback.
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
        time: CALL_TIME,
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
        begun: at(begun),
        end: None,
    }
}

/// Records with two keys of the account `a`, one of which is revoked in second 100.
fn records() -> RunRecords {
    let key = |secret: &str, revoked| KeyLife {
        secret: secret.to_owned(),
        account: "a",
        added: at(0),
        revoked,
    };
    RunRecords {
        keys: vec![key(KEY, None), key(REVOKED_KEY, Some(at(100)))],
        namings: vec![(1, at(0)), (2, at(100))],
        ..RunRecords::default()
    }
}

fn broken(records: &RunRecords) -> Vec<&'static str> {
    let (_, breaches) = judge(records, &[]);
    breaches.iter().map(|breach| breach.promise).collect()
}

fn disturbed(part: SoakPart, from: u64, until: u64) -> DeedRecord {
    DeedRecord {
        parts: vec![part],
        text: String::new(),
        is_planned: false,
        begun: at(from),
        ended: Some(at(until)),
    }
}

#[test]
fn an_unrepeatable_call_that_ran_twice_breaks_a_promise_and_a_repeatable_one_does_not() {
    let mut records = records();
    for kind in [
        CallKind::Read,
        CallKind::Write,
        CallKind::Stream,
        CallKind::ResumableStream,
    ] {
        let name = format!("{kind:?}");
        records.calls.push(call(&name, kind, 50, CallEnd::Whole));
        records
            .runs
            .extend([run(&name, None, 50), run(&name, None, 51)]);
    }
    assert_eq!(broken(&records), ["once", "once"]);
}

#[test]
fn a_call_that_was_answered_not_run_must_never_run() {
    for (status, promises) in [(429, 1), (503, 1), (408, 1), (421, 1), (502, 0), (504, 0)] {
        let mut records = records();
        let end = CallEnd::Refused(status);
        records.calls.push(call("c", CallKind::Read, 50, end));
        records.runs.push(run("c", None, 60));
        assert_eq!(broken(&records).len(), promises, "{status}");
    }
}

#[test]
fn a_run_that_nobody_asked_for_or_for_another_account_breaks_a_promise() {
    let mut records = records();
    records.runs.push(run("nobody's", None, 50));
    let mut foreign = run("c", None, 50);
    foreign.account = Some("b".to_owned());
    records
        .calls
        .push(call("c", CallKind::Read, 50, CallEnd::Whole));
    records.runs.push(foreign);
    assert_eq!(broken(&records), ["account", "unasked"]);
}

#[test]
fn older_weights_break_a_promise_behind_their_bound_only_where_nothing_was_disturbed() {
    let late = |deeds: Vec<DeedRecord>, version, begun| {
        let mut records = records();
        records.deeds = deeds;
        records
            .calls
            .push(call("c", CallKind::Stream, begun, CallEnd::Whole));
        records.runs.push(run("c", Some(version), begun));
        broken(&records).len()
    };
    assert_eq!(late(Vec::new(), 1, 109), 1);
    assert_eq!(late(Vec::new(), 2, 109), 0);
    assert_eq!(late(Vec::new(), 1, 108), 0, "the bound is not over");
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
fn a_revoked_key_is_refused_and_a_good_one_is_not() {
    let ended = |secret: &str, sent, end| {
        let mut records = records();
        let mut call = call("c", CallKind::Read, sent, end);
        call.secret = secret.to_owned();
        records.calls.push(call);
        broken(&records).len()
    };
    assert_eq!(ended(REVOKED_KEY, 103, CallEnd::Whole), 1);
    assert_eq!(ended(REVOKED_KEY, 101, CallEnd::Whole), 0);
    assert_eq!(ended(REVOKED_KEY, 103, CallEnd::Refused(401)), 0);
    assert_eq!(ended(KEY, 103, CallEnd::Refused(401)), 1);
}

/// Records with a stream that was sent in second 50, ran at backend server 0 and ended unfinished in
/// second 51, around `work` that was done in second `sent`.
fn cut_around(work: PlannedWork, sent: u64) -> RunRecords {
    let mut records = records();
    let end = CallEnd::Broken("");
    records.calls.push(call("c", CallKind::Stream, 50, end));
    records.runs.push(run("c", None, 50));
    records.works.push(WorkRecord {
        work,
        sent: at(sent),
        confirmed: at(sent),
    });
    records
}

#[test]
fn an_answer_that_ends_unfinished_around_planned_work_breaks_a_promise() {
    let around = [
        (PlannedWork::Stop(0), 42, 51),
        (PlannedWork::Reload(0), 48, 50),
        (PlannedWork::Document, 48, 51),
    ];
    for (work, first, last) in around {
        for sent in first..=last {
            let records = cut_around(work, sent);
            assert_eq!(broken(&records), ["unfinished"], "{work:?} {sent}");
            assert_eq!(judge(&records, &[]).0.beside_work, 1);
        }
        for sent in [first - 1, last + 1] {
            let records = cut_around(work, sent);
            assert!(broken(&records).is_empty(), "{work:?} {sent}");
            let counts = judge(&records, &[]).0;
            assert_eq!((counts.aside, counts.cut_aside), (1, 1));
        }
    }
    for work in [PlannedWork::Stop(1), PlannedWork::Reload(1)] {
        assert!(broken(&cut_around(work, 50)).is_empty(), "{work:?}");
    }
}

#[test]
fn an_unfinished_answer_is_not_counted_where_something_else_may_have_ended_it() {
    let checked = |change: &dyn Fn(&mut RunRecords)| {
        let mut records = cut_around(PlannedWork::Stop(0), 50);
        change(&mut records);
        (broken(&records).len(), judge(&records, &[]).0.beside_work)
    };
    assert_eq!(checked(&|_| {}), (1, 1));
    assert_eq!(checked(&|records| records.runs.clear()), (0, 0));
    for end in [CallEnd::Whole, CallEnd::Refused(502)] {
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
        records.works[0].sent = at(45);
    };
    assert_eq!(checked(&late), (0, 1), "its time was over");
}

#[test]
fn an_unfinished_answer_is_counted_only_without_faults_on_its_way() {
    let counted = |deed: DeedRecord| {
        let mut records = cut_around(PlannedWork::Document, 50);
        records.deeds.push(deed);
        broken(&records).len()
    };
    let way = [SoakPart::Store, SoakPart::Entry(0), SoakPart::Backend(0)];
    for part in way {
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
fn a_document_does_not_explain_a_call_that_used_seven_tenths_of_its_time() {
    let counted = |work, sent, ended| {
        let mut records = cut_around(work, 50);
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
fn a_run_in_the_last_sixth_of_the_grace_may_be_cut() {
    let counted = |sent, ended, run_end| {
        let mut records = cut_around(PlannedWork::Stop(0), 50);
        records.calls[0].sent = at(sent);
        records.calls[0].end = Some((CallEnd::Broken(""), at(ended)));
        records.runs[0].end = Some((RunEnd::CallerDisconnected, at(run_end)));
        broken(&records).len()
    };
    assert_eq!(counted(53, 57, 57), 0);
    assert_eq!(counted(53, 56, 56), 1);
    assert_eq!(counted(54, 57, 57), 1, "it was sent too late");
    assert_eq!(counted(53, 57, 56), 1, "its run was over");
}

#[test]
fn a_document_does_not_explain_a_cut_at_the_end_of_the_grace() {
    let mut records = cut_around(PlannedWork::Stop(0), 50);
    records.calls[0].sent = at(53);
    records.calls[0].end = Some((CallEnd::Broken(""), at(57)));
    records.works.push(WorkRecord {
        work: PlannedWork::Document,
        sent: at(56),
        confirmed: at(56),
    });
    assert!(broken(&records).is_empty());
    records.works.remove(0);
    assert_eq!(broken(&records), ["unfinished"]);
}

#[test]
fn service_that_does_not_come_back_breaks_a_promise() {
    let mut records = records();
    for number in 0..10 {
        let end = if number < 8 {
            CallEnd::Whole
        } else {
            CallEnd::Refused(503)
        };
        records
            .calls
            .push(call(&format!("c{number}"), CallKind::Read, 50, end));
    }
    let calms = [(at(30), at(60))];
    assert_eq!(judge(&records, &calms).1.len(), 1);
    // They were sent before service had to be back.
    let calms = [(at(45), at(60))];
    let counts = judge(&records, &calms).0;
    assert_eq!(counts.after_recovery, 0);
}

// A run at 60 processes reported service that did not come back while its own process had no descriptors
// left.
#[test]
fn descriptors_that_are_used_up_are_told_from_broken_promises() {
    let text = "Limit          Soft Limit  Hard Limit  Units\n\
                Max processes  128050      128050      processes\n\
                Max open files 20000       30000       files\n";
    assert_eq!(read_limit(text), Some(20_000));
    assert_eq!(read_limit("Max open files unlimited unlimited files"), None);
    assert!(is_used_up(19_000, 20_000));
    assert!(!is_used_up(18_999, 20_000));
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
    let stops = faults.filter(|planned| matches!(planned.deed, SoakDeed::Stop(_)));
    assert!(stops.count() > 0);
}

/// A peer that sends back what it gets, behind a proxy.
async fn echo() -> (FaultProxy, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (mut read, mut write) = stream.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut read, &mut write).await });
        }
    });
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = free.local_addr().expect("it is bound");
    drop(free);
    let proxy = FaultProxy::start(address, target, HostCalls::Absent).await;
    (proxy.expect("it starts"), address)
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
async fn a_proxy_holds_silences_and_resets_what_goes_over_it() {
    let (proxy, address) = echo().await;
    let mut open = TcpStream::connect(address).await.expect("it listens");
    let answered = exchange(&mut open, WAIT_MAX).await;
    assert!(matches!(answered, Some(Ok(4))));

    proxy.change(|rule| rule.holds_answers = true);
    assert!(
        exchange(&mut open, Duration::from_millis(200))
            .await
            .is_none()
    );
    proxy.change(|rule| rule.holds_answers = false);
    let mut held = [0; 4];
    let released = timeout(WAIT_MAX, open.read_exact(&mut held)).await;
    assert!(matches!(released, Ok(Ok(4))), "what was held arrives");

    proxy.silence_open();
    assert!(
        exchange(&mut open, Duration::from_millis(200))
            .await
            .is_none()
    );
    let mut fresh = TcpStream::connect(address).await.expect("it listens");
    let answered = exchange(&mut fresh, WAIT_MAX).await;
    assert!(matches!(answered, Some(Ok(4))), "new connections work");

    proxy.reset_open();
    let ended = timeout(WAIT_MAX, fresh.read(&mut held)).await;
    assert!(
        matches!(ended, Ok(Err(_))),
        "it is reset, not closed: {ended:?}"
    );
}

// Callers reset the connections of requests that they give up; each such connection stayed open on its
// far side until the process ran out of descriptors.
#[tokio::test]
async fn a_proxy_resets_the_far_side_of_a_connection_that_its_caller_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("it is bound");
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = free.local_addr().expect("it is bound");
    drop(free);
    let proxy = FaultProxy::start(address, target, HostCalls::Absent).await;
    let _proxy = proxy.expect("it starts");

    let caller = TcpStream::connect(address).await.expect("it listens");
    let (mut far, _) = listener.accept().await.expect("the proxy connects");
    caller.set_zero_linger().expect("it is open");
    drop(caller);
    let ended = timeout(WAIT_MAX, far.read(&mut [0; 4])).await;
    assert!(matches!(ended, Ok(Err(_))), "it stays open: {ended:?}");
}
