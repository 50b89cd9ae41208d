//! The state machine of the control thread.
//!
//! [`ControlMachine`] does no I/O; the control loop passes events to it and carries out its
//! decisions.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;

use super::gossip_state::GossipState;
use super::peer_messages::LoadChange;
use super::snapshot::{ControlSnapshot, MemberRecord, ServiceRecord};
use super::warm_up::WarmUp;
use crate::documents::{ActiveDocument, ActiveDocuments, DocumentVersion, InstallOutcome, events};
use crate::events::log_event;
use crate::membership::{
    HostIdentity, HostStatus, LoadReport, MemberFacts, MemberTable, MemberView, choose_neighbours,
    choose_table_readers,
};
use crate::metrics;
use crate::stores::{HostEntry, ListedState};
use crate::time::ClockTime;

/// The state of the control thread: documents in force and known hosts.
#[derive(Debug)]
pub(crate) struct ControlMachine {
    identity: HostIdentity,
    own_facts: MemberFacts,
    documents: ActiveDocuments,
    /// The documents in force, as published in snapshots.
    services: Vec<Arc<ServiceRecord>>,
    /// The known hosts, as published in snapshots, sorted by name.
    member_records: Vec<Arc<MemberRecord>>,
    members: MemberTable,
    table_answers: bool,
    warm_up: WarmUp,
    generation: u64,
    changes: PendingChanges,
}

/// Which parts of the state have changed since they were last published.
#[derive(Debug)]
struct PendingChanges {
    documents: bool,
    facts: bool,
    other: bool,
}

impl ControlMachine {
    /// Creates the state of a process that has just started and knows no documents or hosts.
    pub(crate) fn new(identity: HostIdentity) -> Self {
        let own_facts = MemberFacts {
            entry: HostEntry {
                host: identity.host.clone(),
                data_centre: identity.data_centre.clone(),
                region: identity.region.clone(),
                role: identity.role,
                service: identity.service.clone(),
                peer_address: identity.peer_address,
                state: ListedState::Live,
            },
            incarnation: identity.incarnation,
            sequence: 0,
        };
        Self {
            members: MemberTable::new(identity.host.clone()),
            identity,
            own_facts,
            documents: ActiveDocuments::default(),
            services: Vec::new(),
            member_records: Vec::new(),
            table_answers: false,
            warm_up: WarmUp::new(),
            generation: 0,
            changes: PendingChanges {
                documents: true,
                facts: true,
                other: true,
            },
        }
    }

    /// The identity of this process.
    pub(crate) const fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// The documents in force.
    pub(crate) const fn documents(&self) -> &ActiveDocuments {
        &self.documents
    }

    /// The other hosts that this process knows.
    pub(crate) const fn members(&self) -> &MemberTable {
        &self.members
    }

    /// A document's row was received from the table, from a neighbour or from an operator's request
    /// to this host.
    pub(crate) fn on_row(&mut self, row: &Bytes) {
        match self.documents.install_if_newer(row) {
            Ok(InstallOutcome::Installed) => {
                self.changes.documents = true;
                self.log_installed(row);
            }
            Ok(InstallOutcome::Known) => {}
            Ok(InstallOutcome::Older) => metrics::count_event("document_row_older", 1),
            Err(error) => {
                metrics::count_refusal(error.kind, "documents");
                log_event!(events::UNREADABLE, "{error}");
            }
        }
    }

    fn log_installed(&self, row: &Bytes) {
        let active = self
            .documents
            .all()
            .iter()
            .find(|active| active.row == *row);
        if let Some(active) = active {
            let version = &active.version;
            log_event!(events::IN_FORCE, "{} {}", version.service, version.version);
            if !active.unknown.is_empty() {
                let unknown = active.unknown.join(" ");
                log_event!(events::UNKNOWN_FIELDS, "{} {unknown}", version.service);
            }
        }
    }

    /// The table responded, or failed to respond.
    pub(crate) fn on_table(&mut self, answers: bool) {
        self.warm_up.on_table();
        self.changes.other |= self.table_answers != answers;
        self.table_answers = answers;
    }

    /// The platform's host list was read.
    pub(crate) fn on_list(&mut self, entries: &[HostEntry], now: ClockTime) {
        self.members.on_list(entries, now);
        self.warm_up.on_list();
    }

    /// A neighbour forwarded facts that hosts announced about themselves.
    pub(crate) fn on_facts(&mut self, facts: &[MemberFacts], now: ClockTime) {
        for facts in facts {
            self.changes.facts |= self.members.on_facts(facts, now);
        }
    }

    /// A host started to watch this process.
    pub(crate) fn on_watcher(&mut self, facts: &MemberFacts, now: ClockTime) {
        self.changes.facts |= self.members.on_facts(facts, now);
        self.members.on_contact(&facts.entry.host, now);
    }

    /// A watched host announced its status.
    pub(crate) fn on_status(&mut self, status: HostStatus, now: ClockTime) {
        let facts = self.derive_facts(&status);
        self.members.on_status(status, now);
        if let Some(facts) = facts {
            self.members.on_facts(&facts, now);
            self.changes.facts = true;
        }
    }

    /// Derives new facts from a host's status; `None` if the status implies nothing new.
    fn derive_facts(&self, status: &HostStatus) -> Option<MemberFacts> {
        let member = self.members.get(&status.host)?;
        let mut facts = member.facts.clone();
        let is_newer = status.incarnation > facts.incarnation;
        let leaves = status.leaving && facts.entry.state != ListedState::Leaving;
        if !is_newer && !leaves {
            return None;
        }
        facts.entry.state = listed_state(status.leaving);
        facts.sequence = u64::from(status.leaving);
        facts.incarnation = status.incarnation;
        Some(facts)
    }

    /// A watched host reported a change of its load only.
    pub(crate) fn on_load(&mut self, host: &str, change: LoadChange, now: ClockTime) {
        let (sequence, [running, waiting, capacity, queue_room]) = change;
        let known = self
            .members
            .get(host)
            .and_then(|member| member.status.clone());
        if let Some(known) = known {
            let load = LoadReport {
                running,
                waiting,
                capacity,
                queue_room,
            };
            let status = HostStatus {
                sequence,
                load,
                ..(*known).clone()
            };
            self.members.on_status(status, now);
        }
    }

    /// A frame was received from a watched host; its frames are at most `interval` apart.
    pub(crate) fn on_frame_received(&mut self, host: &str, interval: Duration, now: ClockTime) {
        self.members.on_frame_received(host, interval, now);
    }

    /// The stream from a watched host broke or could not be opened.
    pub(crate) fn on_stream_lost(&mut self, host: &str, now: ClockTime) {
        self.members.on_stream_lost(host, now);
    }

    /// This process stops watching `host`.
    pub(crate) fn on_unwatched(&mut self, host: &str) {
        self.members.on_unwatched(host);
    }

    /// This process begins its graceful shutdown.
    pub(crate) fn on_leaving(&mut self) {
        self.own_facts.entry.state = ListedState::Leaving;
        self.own_facts.sequence = 1;
        self.changes.facts = true;
    }

    /// This process starts watching `host`.
    pub(crate) fn on_watched(&mut self, host: &str, now: ClockTime) {
        self.members.on_watched(host, now);
    }

    /// Handles the passing of time. `neighbours_settled` says whether every neighbour has responded
    /// or failed since the start.
    pub(crate) fn on_tick(&mut self, neighbours_settled: bool, now: ClockTime) {
        self.members.on_tick(now);
        self.changes.documents |= self.warm_up.on_tick(neighbours_settled, now);
    }

    /// The documents that this process acts on: none during the warm-up.
    fn effective_documents(&self) -> &[Arc<ActiveDocument>] {
        if self.warm_up.is_done() {
            self.documents.all()
        } else {
            &[]
        }
    }

    /// Whether any of `versions`, which are in force at a neighbour, is newer than in this process.
    pub(crate) fn lacks_any(&self, versions: &[DocumentVersion]) -> bool {
        versions
            .iter()
            .any(|remote| remote.version > self.documents.version_of(&remote.service))
    }

    /// The hosts that this process should watch.
    pub(crate) fn neighbours(&self) -> Vec<ByteString> {
        choose_neighbours(&self.identity, self.members.members())
    }

    /// Whether this process reads the table for its data centre.
    pub(crate) fn reads_table(&self) -> bool {
        choose_table_readers(&self.identity, self.members.members()).contains(&self.identity.host)
    }

    /// The state to send to watchers, if it has changed since the last call.
    pub(crate) fn take_gossip(&mut self) -> Option<GossipState> {
        let changed = self.changes.documents || self.changes.facts;
        changed.then(|| {
            self.changes.facts = false;
            if std::mem::take(&mut self.changes.documents) {
                self.changes.other = true;
                self.renew_services();
            }
            GossipState {
                documents: self.effective_documents().to_vec(),
                facts: self.announced_facts(),
            }
        })
    }

    /// Creates records for changed documents; other records are shared with earlier snapshots.
    fn renew_services(&mut self) {
        let services = self.effective_documents().iter().map(|active| {
            let known = self.services.iter().find(|record| {
                record.document.service == active.version.service
                    && record.version == active.version.version
            });
            known.cloned().unwrap_or_else(|| service_record(active))
        });
        self.services = services.collect();
    }

    /// Creates records for changed hosts; other records are shared with earlier snapshots.
    fn renew_member_records(&mut self) {
        let known = std::mem::take(&mut self.member_records);
        let renew = |member: &MemberView| {
            let host = &member.facts.entry.host;
            let found = known.binary_search_by(|record| record.host.cmp(host));
            found
                .ok()
                .map(|at| &known[at])
                .filter(|record| is_current(record, member))
                .map_or_else(|| member_record(member), Arc::clone)
        };
        self.member_records = self.members.members().iter().map(renew).collect();
    }

    /// All announced facts, including those about this host, sorted by host. Facts from the host
    /// list (incarnation 0) are not sent.
    fn announced_facts(&self) -> Vec<Arc<MemberFacts>> {
        let own = std::iter::once(&self.own_facts);
        let others = self.members.members().iter().map(|member| &member.facts);
        let mut facts: Vec<_> = own
            .chain(others)
            .filter(|facts| facts.incarnation > 0)
            .map(|facts| Arc::new(facts.clone()))
            .collect();
        facts.sort_by(|left, right| left.entry.host.cmp(&right.entry.host));
        facts
    }

    /// A new snapshot, if it differs from the last one.
    pub(crate) fn take_snapshot(&mut self) -> Option<ControlSnapshot> {
        let changed = self.members.take_changed() | std::mem::take(&mut self.changes.other);
        changed.then(|| {
            self.generation += 1;
            self.renew_member_records();
            ControlSnapshot {
                generation: self.generation,
                services: self.services.clone(),
                members: self.member_records.clone(),
                table_answers: self.table_answers,
            }
        })
    }
}

const fn listed_state(leaving: bool) -> ListedState {
    if leaving {
        ListedState::Leaving
    } else {
        ListedState::Live
    }
}

fn service_record(active: &Arc<ActiveDocument>) -> Arc<ServiceRecord> {
    Arc::new(ServiceRecord {
        version: active.version.version,
        document: (*active.document).clone(),
    })
}

/// Whether `record` still agrees with `member`.
fn is_current(record: &MemberRecord, member: &MemberView) -> bool {
    let entry = &member.facts.entry;
    let same_status = match (&record.status, &member.status) {
        (Some(left), Some(right)) => Arc::ptr_eq(left, right),
        (None, None) => true,
        _ => false,
    };
    same_status
        && record.state == member.state()
        && record.peer_address == entry.peer_address
        && record.service == entry.service
        && record.data_centre == entry.data_centre
        && record.region == entry.region
        && record.role == entry.role
}

fn member_record(member: &MemberView) -> Arc<MemberRecord> {
    let entry = &member.facts.entry;
    Arc::new(MemberRecord {
        host: entry.host.clone(),
        data_centre: entry.data_centre.clone(),
        region: entry.region.clone(),
        role: entry.role,
        service: entry.service.clone(),
        peer_address: entry.peer_address,
        state: member.state(),
        status: member.status.clone(),
    })
}
