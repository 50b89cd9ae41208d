//! Drives the backend servers of one service through random changes of the control state, picks and
//! ends. What is picked is held against what the hosts last said of themselves.

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
const CENTRES: [&str; 2] = ["lima-hall-a", "cusco-hall-a"];

struct Case {
    pool: BackendPool,
    hosts: Vec<MemberRecord>,
    /// Whether each host was in the last snapshot.
    listed: Vec<bool>,
    identity: HostIdentity,
    under_way: Vec<PickedBackend>,
    /// Hosts that refused as leaving since their last word.
    refused: Vec<bool>,
    now: ClockTime,
    generation: u64,
}

/// One random case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut case = Case {
        pool: BackendPool::new(u.arbitrary()?),
        hosts: (0..HOSTS).map(host).collect(),
        listed: vec![false; HOSTS],
        identity: entry(0),
        under_way: Vec::new(),
        refused: vec![false; HOSTS],
        now: ClockTime::from_millis(1),
        generation: 0,
    };
    for _ in 0..STEPS {
        if u.is_empty() {
            break;
        }
        match u.int_in_range(0..=9_u8)? {
            0 | 1 => case.change(u)?,
            2..=5 => case.pick(u)?,
            6..=8 => case.end(u)?,
            _ => case.now = case.now + Duration::from_millis(u.int_in_range(0..=3_000)?),
        }
    }
    Ok(())
}

fn host(number: usize) -> MemberRecord {
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
    member.data_centre = CENTRES[number % CENTRES.len()].into();
    member.peer_address = unused_address();
    member
}

impl Case {
    /// A host says something new, and the control state is told.
    fn change(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let place = u.choose_index(HOSTS)?;
        let member = &mut self.hosts[place];
        member.state = *u.choose(&[
            MemberState::Live,
            MemberState::Live,
            MemberState::Suspected,
            MemberState::Leaving,
            MemberState::Gone,
        ])?;
        let before = member.status.as_ref().expect("made with a status");
        let mut status = HostStatus::clone(before);
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
            Some(version(u.int_in_range(0..=1)?))
        } else {
            None
        };
        member.status = Some(Arc::new(status));
        self.refused[place] = false;
        self.tell(u)
    }

    fn tell(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut members = Vec::new();
        for (place, member) in self.hosts.iter().enumerate() {
            self.listed[place] = u.ratio(7, 8)?;
            // What is not listed is forgotten, with what it said.
            self.refused[place] &= self.listed[place];
            if self.listed[place] {
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
        document.data_centres = CENTRES.iter().map(|name| (*name).into()).collect();
        self.pool
            .refresh(&snapshot, &document, &self.identity, self.now);
        Ok(())
    }

    fn pick(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let earlier = match self.under_way.as_slice() {
            [] => None,
            several => Some(u.choose(several)?.clone()),
        };
        let target = if u.ratio(1, 3)? {
            PickTarget::Version(version(u.int_in_range(0..=1)?).digest)
        } else {
            PickTarget::Any
        };
        let avoid: Option<BackendKey> = match &earlier {
            Some(earlier) if u.arbitrary()? => Some(earlier.key),
            _ => None,
        };
        let wish = PickCriteria {
            target,
            urgent: u.arbitrary()?,
            prefix: u.arbitrary()?,
            avoid,
        };
        if let Ok(picked) = self.pool.pick(&wish, self.now) {
            self.check(&wish, &picked);
            self.under_way.push(picked);
        }
        Ok(())
    }

    fn check(&self, wish: &PickCriteria, picked: &PickedBackend) {
        let place = self.hosts.iter().position(|one| one.host == picked.host);
        let place = place.expect("a host was picked that never was");
        let member = &self.hosts[place];
        let status = member.status.as_ref().expect("made with a status");
        let is_there = matches!(member.state, MemberState::Live | MemberState::Suspected);
        assert!(
            is_there && self.listed[place],
            "new work went to a host that is not there"
        );
        assert!(!status.leaving, "new work went to a leaving host");
        assert!(
            !self.refused[place],
            "new work went to a host that refuses it"
        );
        assert!(
            status.serving.is_some(),
            "new work went to a host without weights"
        );
        assert_eq!(
            picked.incarnation, status.incarnation,
            "an old process was meant"
        );
        if let PickTarget::Version(digest) = wish.target {
            let serving = status.serving.as_ref().map(|serving| serving.digest);
            assert_eq!(serving, Some(digest), "another version was picked");
        }
        if wish.avoid.is_none() {
            let own = self.under_way.iter().filter(|one| one.key == picked.key);
            let own = u32::try_from(own.count()).expect("few");
            let most = status.load.capacity.max(1) + status.load.queue_room;
            assert!(own < most, "more was sent to a host than it takes");
        }
    }

    fn end(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.under_way.is_empty() {
            return Ok(());
        }
        let ended = self
            .under_way
            .swap_remove(u.choose_index(self.under_way.len())?);
        match u.int_in_range(0..=4_u8)? {
            0 | 1 => {
                let took = Duration::from_millis(u.int_in_range(0..=1_000)?);
                self.pool.note_success(ended.key, took, 10, None, self.now);
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
                let place = self.hosts.iter().position(|one| one.host == ended.host);
                let place = place.expect("it was picked before");
                // Its word holds for the process that gave it, as long as that is known.
                self.refused[place] |= self.listed[place] && self.pool.contains_key(ended.key);
            }
            _ => self.pool.note_inconclusive(ended.key, self.now),
        }
        Ok(())
    }
}

fn version(number: u8) -> ServingVersion {
    ServingVersion {
        version: format!("v{number}").into(),
        digest: WeightsDigest::of(&[number]),
    }
}
