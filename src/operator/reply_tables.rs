//! Prints replies of the administration API as tables.

use super::messages::{FaultsReply, HostSummary, HostsReply, RequestsReply, StateReply};
use super::text_table::{cell, print_table};

pub(super) fn show_state(reply: &StateReply) {
    let age = reply.documents_age_ms;
    let freshness = age.map_or_else(
        || "not confirmed by the table yet".to_owned(),
        |age| format!("current as of {age} ms ago"),
    );
    let table = if reply.table_answers {
        "answers"
    } else {
        "away"
    };
    println!(
        "{} in {}: table {table}; documents are {freshness}",
        reply.host, reply.data_centre
    );
    let hosts = reply.hosts;
    println!(
        "hosts: {} live, {} suspected, {} leaving, {} gone",
        hosts.live, hosts.suspected, hosts.leaving, hosts.gone
    );
    let rows: Vec<Vec<String>> = reply
        .services
        .iter()
        .map(|summary| {
            vec![
                summary.service.clone(),
                summary.team.clone(),
                summary.version.to_string(),
                cell(summary.weights.as_ref()),
                summary.live.to_string(),
                summary.serving.to_string(),
            ]
        })
        .collect();
    print_table(
        &["SERVICE", "TEAM", "VERSION", "WEIGHTS", "LIVE", "SERVING"],
        &rows,
    );
}

pub(super) fn show_hosts(reply: &HostsReply) {
    let rows: Vec<Vec<String>> = reply
        .hosts
        .iter()
        .map(|summary| {
            vec![
                summary.host.clone(),
                summary.data_centre.clone(),
                summary.role.clone(),
                cell(summary.service.as_ref()),
                summary.state.clone(),
                cell(summary.running.as_ref()),
                cell(summary.waiting.as_ref()),
            ]
        })
        .collect();
    let headings = [
        "HOST",
        "DATA CENTRE",
        "ROLE",
        "SERVICE",
        "STATE",
        "RUNNING",
        "WAITING",
    ];
    print_table(&headings, &rows);
}

pub(super) fn show_weights(reply: &HostsReply) {
    let is_backend = |summary: &&HostSummary| summary.role == "backend";
    let rows: Vec<Vec<String>> = reply
        .hosts
        .iter()
        .filter(is_backend)
        .map(|summary| {
            vec![
                summary.host.clone(),
                summary.data_centre.clone(),
                cell(summary.service.as_ref()),
                summary.state.clone(),
                cell(summary.serving.as_ref()),
                cell(summary.staging.as_ref()),
            ]
        })
        .collect();
    print_table(
        &[
            "HOST",
            "DATA CENTRE",
            "SERVICE",
            "STATE",
            "SERVING",
            "STAGING",
        ],
        &rows,
    );
}

pub(super) fn show_requests(reply: &RequestsReply) {
    let rows: Vec<Vec<String>> = reply
        .counters
        .iter()
        .map(|summary| {
            vec![
                summary.name.clone(),
                summary.labels.clone(),
                summary.value.to_string(),
            ]
        })
        .collect();
    print_table(&["COUNTER", "LABELS", "VALUE"], &rows);
}

pub(super) fn show_document_faults(reply: &FaultsReply) {
    for fault in &reply.faults {
        let path = if fault.path.is_empty() {
            "/"
        } else {
            &fault.path
        };
        eprintln!("  {path}: given {}; {}", fault.given, fault.wanted);
    }
}
