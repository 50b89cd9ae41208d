//! Drives the backend pool of one service through random changes of the control state, picks and
//! ends of requests. Each pick is checked against the status that the host last announced.

use std::sync::Arc;
use std::time::Duration;

use arbitrary::{Result, Unstructured};

use crate::control::{ControlSnapshot, MemberRecord, MemberState};
use crate::documents::ServiceKind;
use crate::errors::ErrorKind;
use crate::lab::picks::fixtures::{document, entry, member_record, unused_address};
use crate::membership::{HostIdentity, HostStatus, LoadReport, ServingVersion};
use crate::routing::{BackendKey, BackendPool, PickCriteria, PickTarget, PickedBackend};
use crate::stores::HostRole;
use crate::time::ClockTime;
use crate::weights::WeightsDigest;

const STEPS: usize = 300;
const HOSTS: usize = 5;
const DATA_CENTRES: [&str; 2] = ["lima-hall-a", "cusco-hall-a"];

struct RoutingCase {
    pool: BackendPool,
    /// The hosts with their latest announced status.
    hosts: Vec<MemberRecord>,
    /// Whether each host was in the last snapshot.
    listed: Vec<bool>,
    identity: HostIdentity,
    /// Picks whose requests have not ended.
    active_picks: Vec<PickedBackend>,
    /// Whether each host has refused a request as leaving since its last announcement.
    refused_as_leaving: Vec<bool>,
    now: ClockTime,
    generation: u64,
}

/// Runs one random case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut case = RoutingCase {
        pool: BackendPool::new(u.arbitrary()?),
        hosts: (0..HOSTS).map(backend_record).collect(),
        listed: vec![false; HOSTS],
        identity: entry(0),
        active_picks: Vec::new(),
        refused_as_leaving: vec![false; HOSTS],
        now: ClockTime::from_millis(1),
        generation: 0,
    };
    for _ in 0..STEPS {
        if u.is_empty() {
            break;
        }
        match u.int_in_range(0..=9_u8)? {
            0 | 1 => case.change_host(u)?,
            2..=5 => case.pick(u)?,
            6..=8 => case.finish_pick(u)?,
            _ => case.now = case.now + Duration::from_millis(u.int_in_range(0..=3_000)?),
        }
    }
    Ok(())
}

fn backend_record(number: usize) -> MemberRecord {
    let mut member = member_record(
        format!("backend-{number}").into(),
        HostRole::Backend,
        Some(Arc::new(HostStatus {
            host: format!("backend-{number}").into(),
            incarnation: 1,
            sequence: 0,
            leaving: false,
            load: LoadReport::default(),
            serving: None,
            staging: None,
        })),
    );
    member.data_centre = DATA_CENTRES[number % DATA_CENTRES.len()].into();
    member.peer_address = unused_address();
    member
}

impl RoutingCase {
    /// Gives a host a new state and status, and passes them to the pool.
    fn change_host(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let index = u.choose_index(HOSTS)?;
        let member = &mut self.hosts[index];
        member.state = *u.choose(&[
            MemberState::Live,
            MemberState::Live,
            MemberState::Suspected,
            MemberState::Leaving,
            MemberState::Unavailable,
        ])?;
        let previous = member
            .status
            .as_ref()
            .expect("every host is created with a status");
        let mut status = HostStatus::clone(previous);
        if u.ratio(1, 6)? {
            status.incarnation += 1;
            status.sequence = 0;
        }
        status.sequence += 1;
        status.leaving = u.ratio(1, 6)?;
        status.load = LoadReport {
            running: u.int_in_range(0..=8)?,
            waiting: u.int_in_range(0..=4)?,
            capacity: u.int_in_range(0..=8)?,
            queue_room: u.int_in_range(0..=4)?,
        };
        status.serving = if u.ratio(3, 4)? {
            Some(serving_version(u.int_in_range(0..=1)?))
        } else {
            None
        };
        member.status = Some(Arc::new(status));
        self.refused_as_leaving[index] = false;
        self.refresh_pool(u)
    }

    /// Passes a snapshot of the control state to the pool, from which some hosts are missing.
    fn refresh_pool(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut members = Vec::new();
        for (index, member) in self.hosts.iter().enumerate() {
            self.listed[index] = u.ratio(7, 8)?;
            // The pool forgets hosts that are not listed, together with their refusals.
            self.refused_as_leaving[index] &= self.listed[index];
            if self.listed[index] {
                members.push(Arc::new(member.clone()));
            }
        }
        self.generation += 1;
        let snapshot = ControlSnapshot {
            generation: self.generation,
            services: Vec::new(),
            members,
            table_answers: true,
        };
        let mut document = document(1);
        document.kind = ServiceKind::Model;
        document.data_centres = DATA_CENTRES.iter().map(|name| (*name).into()).collect();
        self.pool
            .refresh(&snapshot, &document, &self.identity, self.now);
        Ok(())
    }

    fn pick(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let earlier = match self.active_picks.as_slice() {
            [] => None,
            picks => Some(u.choose(picks)?.clone()),
        };
        let target = if u.ratio(1, 3)? {
            PickTarget::Version(serving_version(u.int_in_range(0..=1)?).digest)
        } else {
            PickTarget::Any
        };
        let avoid: Option<BackendKey> = match &earlier {
            Some(earlier) if u.arbitrary()? => Some(earlier.key),
            _ => None,
        };
        let criteria = PickCriteria {
            target,
            urgent: u.arbitrary()?,
            prefix: u.arbitrary()?,
            avoid,
        };
        if let Ok(picked) = self.pool.pick(&criteria, self.now) {
            self.check(&criteria, &picked);
            self.active_picks.push(picked);
        }
        Ok(())
    }

    /// Checks a pick against the latest status of its host.
    fn check(&self, criteria: &PickCriteria, picked: &PickedBackend) {
        let index = self
            .hosts
            .iter()
            .position(|member| member.host == picked.host);
        let index = index.expect("the picked host exists");
        let member = &self.hosts[index];
        let status = member
            .status
            .as_ref()
            .expect("every host is created with a status");
        let is_available = matches!(member.state, MemberState::Live | MemberState::Suspected);
        assert!(
            is_available && self.listed[index],
            "a host was picked that is unavailable or not listed"
        );
        assert!(!status.leaving, "a leaving host was picked");
        assert!(
            !self.refused_as_leaving[index],
            "a host was picked that refuses requests as leaving"
        );
        assert!(
            status.serving.is_some(),
            "a host without weights in service was picked"
        );
        assert_eq!(
            picked.incarnation, status.incarnation,
            "the pick names a previous incarnation of the host"
        );
        if let PickTarget::Version(digest) = criteria.target {
            let serving = status.serving.as_ref().map(|serving| serving.digest);
            assert_eq!(
                serving,
                Some(digest),
                "a host with another version was picked"
            );
        }
        if criteria.avoid.is_none() {
            let active = self
                .active_picks
                .iter()
                .filter(|pick| pick.key == picked.key);
            let active_count =
                u32::try_from(active.count()).expect("the number of active picks fits in 32 bits");
            let limit = status.load.capacity.max(1) + status.load.queue_room;
            assert!(
                active_count < limit,
                "a host was picked beyond its capacity and queue room"
            );
        }
    }

    /// Ends a random active pick with a success, a failure or an inconclusive result.
    fn finish_pick(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.active_picks.is_empty() {
            return Ok(());
        }
        let ended = self
            .active_picks
            .swap_remove(u.choose_index(self.active_picks.len())?);
        match u.int_in_range(0..=4_u8)? {
            0 | 1 => {
                let duration = Duration::from_millis(u.int_in_range(0..=1_000)?);
                self.pool
                    .note_success(ended.key, duration, 10, None, self.now);
            }
            2 => {
                let kind = *u.choose(&[
                    ErrorKind::ConnectFailed,
                    ErrorKind::PeerSilent,
                    ErrorKind::BackendBusy,
                ])?;
                self.pool.note_failure(ended.key, kind, self.now);
            }
            3 => {
                self.pool
                    .note_failure(ended.key, ErrorKind::BackendLeaving, self.now);
                let index = self
                    .hosts
                    .iter()
                    .position(|member| member.host == ended.host);
                let index = index.expect("hosts of earlier picks exist");
                // The refusal applies to the process that sent it, while the pool knows that
                // process.
                self.refused_as_leaving[index] |=
                    self.listed[index] && self.pool.contains_key(ended.key);
            }
            _ => self.pool.note_inconclusive(ended.key, self.now),
        }
        Ok(())
    }
}

fn serving_version(number: u8) -> ServingVersion {
    ServingVersion {
        version: format!("v{number}").into(),
        digest: WeightsDigest::of(&[number]),
    }
}
