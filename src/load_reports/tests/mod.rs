mod simulation;

use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::*;
use crate::fleet::{EngineHoldings, HeldLayers, LoadReport, ModelVersion, WeightsVersion};
use crate::quarantine::{
    AnswerCount, BackendIncarnation, CrashRecord, CrashVerdict, PromptPart, SuspectDepth,
    SuspectDigest,
};
use crate::sync::EntryRecord;
use crate::test_support::run_cases;
use crate::time::{ClockTime, StoreTime, WallTime};
use crate::transport::{decode_message, encode_datagram};

const NOW: ClockTime = ClockTime::from_millis(10_000);
/// Payload of one packet on a usual link.
const PACKET_BYTES: usize = 1472;

fn holdings(version: u64) -> EngineHoldings {
    let version = WeightsVersion(version);
    EngineHoldings {
        models: vec![ModelVersion {
            model: "lagu120000".into(),
            version,
        }],
        layers: vec![HeldLayers {
            from: 0,
            to: 16,
            version,
        }],
    }
}

fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    ([10, 1, high, low], 8005).into()
}

fn report(number: u16, active: u32) -> LoadReport {
    LoadReport {
        address: address(number),
        start_time: Some(WallTime(1_764_748_800_123)),
        active,
        queued: 0,
        is_loading: false,
        pace: 1.07,
        holdings: holdings(1),
    }
}

fn any_report(u: &mut Unstructured<'_>) -> Result<LoadReport> {
    let mut report = report(u.int_in_range(0..=300)?, u.arbitrary()?);
    report.start_time = u.arbitrary::<Option<u64>>()?.map(WallTime);
    report.is_loading = u.arbitrary()?;
    report.holdings = holdings(u.int_in_range(0..=3)?);
    Ok(report)
}

/// Guards against digests that lose or change reports, or assign them to another backend server.
#[test]
fn digests_round_trip_reports() {
    run_cases(300, 4096, |u| {
        let count = u.int_in_range(0..=80)?;
        let reports: Vec<LoadReport> = (0..count).map(|_| any_report(u)).collect::<Result<_>>()?;
        let mut unpacked = Vec::new();
        for digest in LoadDigest::pack(&reports, DigestReach::Receiver) {
            let datagram = encode_datagram(&ReportDatagram::Digest(digest)).expect("it encodes");
            match decode_message(&datagram).expect("it decodes") {
                ReportDatagram::Digest(digest) => unpacked.extend(digest.unpack()),
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(unpacked, reports);
        Ok(())
    });
}

/// Guards against digests of two packets, which are lost if either packet is lost.
#[test]
fn a_digest_fits_into_one_packet() {
    let reports: Vec<LoadReport> = (0..100).map(|number| report(number, 9)).collect();
    for digest in LoadDigest::pack(&reports, DigestReach::DataCentre) {
        let datagram = encode_datagram(&ReportDatagram::Digest(digest)).expect("it encodes");
        assert!(datagram.len() <= PACKET_BYTES, "{}", datagram.len());
    }
}

/// Guards against notices that are lost because they are larger than a packet.
#[test]
fn a_crash_notice_fits_into_one_packet() {
    let record = CrashRecord {
        suspect: SuspectDigest::of_part(None, PromptPart(u64::MAX)),
        backend: BackendIncarnation(u64::MAX),
        verdict: CrashVerdict::Suspected,
        seen: StoreTime(u64::MAX),
        depth: SuspectDepth::WHOLE,
    };
    let count = AnswerCount {
        part: record.suspect,
        process: u64::MAX,
        answers: u32::MAX,
    };
    let notices = [
        (vec![record; CrashNotice::RECORDS_MAX], Vec::new()),
        (Vec::new(), vec![count; CrashNotice::RECORDS_MAX]),
    ];
    for (records, answers) in notices {
        let reach = DigestReach::DataCentre;
        let notice = ReportDatagram::Crashes(CrashNotice {
            reach,
            records,
            answers,
        });
        let datagram = encode_datagram(&notice).expect("it encodes");
        assert!(datagram.len() <= PACKET_BYTES, "{}", datagram.len());
        let decoded: ReportDatagram = decode_message(&datagram).expect("it decodes");
        assert_eq!(decoded, notice);
    }
}

/// Guards against requests that are sent to an engine while it changes its weights, and refused.
#[test]
fn weight_changes_are_forwarded_at_once() {
    let mut queue = DigestQueue::default();
    queue.push(report(1, 3), NOW);
    queue.take_due(NOW + Duration::from_secs(1));
    let later = NOW + Duration::from_secs(1);
    queue.push(report(1, 4), later);
    assert_eq!(queue.due_at(), Some(later + Duration::from_millis(200)));
    let mut loading = report(1, 4);
    loading.is_loading = true;
    queue.push(loading, later);
    let due = queue.due_at().expect("a digest is pending");
    assert!(due <= later + Duration::from_millis(20), "{due:?}");
    let digests = queue.take_due(due);
    let reaches: Vec<DigestReach> = digests.iter().map(|digest| digest.reach).collect();
    assert_eq!(reaches, [DigestReach::Receiver, DigestReach::DataCentre]);
    assert!(
        digests
            .iter()
            .all(|digest| digest.unpack().all(|report| report.is_loading))
    );
    assert_eq!(queue.due_at(), None);
}

fn entry(data_centre: &str, number: u16) -> EntryRecord {
    let reports = ([10, 9, 0, 1], 7000 + number).into();
    EntryRecord {
        host: format!("{data_centre}{number}").into(),
        data_centre: data_centre.into(),
        control: reports,
        reports,
    }
}

/// Guards against engines whose load is unknown once both relays of their data centre have failed.
#[test]
fn a_host_reports_to_all_entry_hosts_once_its_leases_expire() {
    let entries = [entry("a", 1), entry("a", 2), entry("b", 3)];
    let near: Vec<SocketAddr> = entries[..2].iter().map(|entry| entry.reports).collect();
    let mut leases = ReportLeases::new("a".into());
    leases.renew(near[0], NOW);
    assert_eq!(leases.receivers(&entries, true, NOW), near[..1]);
    let later = NOW + Duration::from_secs(2);
    let mut far = 0;
    for _ in 0..10 {
        let receivers = leases.receivers(&entries, false, later);
        assert!(near.iter().all(|address| receivers.contains(address)));
        far += receivers.len() - near.len();
    }
    assert_eq!(
        far, 2,
        "entry hosts in other data centres get one report in five"
    );
    assert_eq!(leases.receivers(&entries, true, later).len(), entries.len());
}

/// Guards against a lease that ends after two lost renewals.
#[test]
fn a_lease_outlives_two_lost_renewals() {
    let entries = [entry("a", 1), entry("a", 2)];
    let mut leases = ReportLeases::new("a".into());
    leases.renew(entries[0].reports, NOW);
    let third = NOW + LEASE_RENEWAL * 3;
    assert_eq!(leases.receivers(&entries, false, third).len(), 1);
}
