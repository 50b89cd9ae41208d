//! A simulated operator. It writes documents, target versions and keys to the store, and records
//! when the store accepted each of them.

use std::net::SocketAddr;

use super::run_journal::{EvacuationSpan, KeyRecord, PlannedWork, RunJournal, WorkRecord};
use crate::platform::{
    AccountSample, EVACUATED_DATA_CENTRE, FakeStore, TableName, document_text, samples,
};
use crate::time::clock_now;

/// Client accounts, whose first keys stay valid for the complete run.
const ACCOUNTS: [&str; 2] = ["auroras", "skupno"];
/// Difference between the versions of two successive documents.
const VERSION_STEP: u64 = 3;

/// Writes the operator's changes to the store.
pub(super) struct SoakOperator {
    store: FakeStore,
    origin: SocketAddr,
    journal: RunJournal,
    document_version: u64,
    weights_version: u64,
    extra_keys_made: u64,
}

impl SoakOperator {
    /// Creates an operator that writes the first document and sets version 1 of the weights as
    /// target.
    pub(super) fn start(store: FakeStore, origin: SocketAddr, journal: RunJournal) -> Self {
        let now = clock_now();
        let first_keys = ACCOUNTS.iter().map(|account| KeyRecord {
            secret: format!("key-of-{account}"),
            account,
            added: now,
            revoked: None,
        });
        journal.lock().keys.extend(first_keys);
        let mut operator = Self {
            store,
            origin,
            journal,
            document_version: 0,
            weights_version: 0,
            extra_keys_made: 0,
        };
        operator.write_documents(1);
        operator.set_target();
        operator
    }

    /// Writes `count` documents in direct succession.
    pub(super) fn write_documents(&mut self, count: u32) {
        for _ in 0..count {
            let keys = self.valid_keys();
            self.write_document(&keys);
        }
    }

    /// Sets the next version of the weights as target.
    pub(super) fn set_target(&mut self) {
        self.weights_version += 1;
        let (key, text) = samples::target_sample(self.weights_version);
        self.store.put(TableName::Operator, key, &text);
        let target_update = (self.weights_version, clock_now());
        self.journal.lock().target_updates.push(target_update);
    }

    /// Evacuates a data centre, unless it is being evacuated.
    pub(super) fn begin_evacuation(&mut self) {
        if self.is_evacuating() {
            return;
        }
        self.store.put(TableName::Operator, &evacuation_key(), "{}");
        let record = EvacuationSpan {
            confirmed: clock_now(),
            ended: None,
        };
        self.journal.lock().evacuations.push(record);
    }

    /// Ends the evacuation, if there is one.
    pub(super) fn end_evacuation(&mut self) {
        if !self.is_evacuating() {
            return;
        }
        let ended = clock_now();
        self.store.remove(TableName::Operator, &evacuation_key());
        if let Some(last) = self.journal.lock().evacuations.last_mut() {
            last.ended = Some(ended);
        }
    }

    fn is_evacuating(&self) -> bool {
        let records = self.journal.lock();
        records
            .evacuations
            .last()
            .is_some_and(|last| last.ended.is_none())
    }

    /// Adds a key to an account; the accounts take turns.
    pub(super) fn add_key(&mut self) {
        self.extra_keys_made += 1;
        let account = ACCOUNTS[usize::from(self.extra_keys_made.is_multiple_of(2))];
        let secret = format!("extra-key-{}", self.extra_keys_made);
        let mut keys = self.valid_keys();
        keys.push((account, secret.clone()));
        self.write_document(&keys);
        let key_record = KeyRecord {
            secret,
            account,
            added: clock_now(),
            revoked: None,
        };
        self.journal.lock().keys.push(key_record);
    }

    /// Revokes the oldest valid extra key, if there is one.
    pub(super) fn revoke_key(&mut self) {
        let records = self.journal.lock();
        let mut extra_keys = records.keys.iter().skip(ACCOUNTS.len());
        let oldest = extra_keys.position(|key| key.revoked.is_none());
        drop(records);
        let Some(oldest) = oldest else {
            return;
        };
        let index = oldest + ACCOUNTS.len();
        let revoked = self.journal.lock().keys[index].secret.clone();
        let mut keys = self.valid_keys();
        keys.retain(|(_, secret)| *secret != revoked);
        self.write_document(&keys);
        self.journal.lock().keys[index].revoked = Some(clock_now());
    }

    fn valid_keys(&self) -> Vec<(&'static str, String)> {
        let records = self.journal.lock();
        let keys = records.keys.iter().filter(|key| key.revoked.is_none());
        keys.map(|key| (key.account, key.secret.clone())).collect()
    }

    fn write_document(&mut self, keys: &[(&str, String)]) {
        self.document_version += VERSION_STEP;
        let accounts = ACCOUNTS.map(|name| {
            let own = keys.iter().filter(|(account, _)| *account == name);
            let keys = own.map(|(_, secret)| secret.clone()).collect();
            AccountSample { name, keys }
        });
        let text = document_text(self.document_version, self.origin, &accounts);
        let (key, _) = samples::document_sample(self.document_version);
        let sent = clock_now();
        self.store.put(TableName::Operator, key, &text);
        self.journal.note_work(WorkRecord {
            work: PlannedWork::Document,
            sent,
            confirmed: clock_now(),
        });
    }
}

fn evacuation_key() -> String {
    samples::evacuation_key(EVACUATED_DATA_CENTRE)
}
