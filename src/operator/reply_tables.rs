//! The replies of the administration API as tables.

use super::messages::{FaultsReply, HostSummary, HostsReply, RequestsReply, StateReply};
use super::text_table::{cell, print_table};

pub(super) fn show_state(reply: &StateReply) {
    let age = reply.documents_age_ms;
    let freshness = age.map_or_else(
        || "not known to be the table's yet".to_owned(),
        |age| format!("the table's as of {age} ms ago"),
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
        .map(|line| {
            vec![
                line.service.clone(),
                line.team.clone(),
                line.version.to_string(),
                cell(line.weights.as_ref()),
                line.live.to_string(),
                line.serving.to_string(),
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
        .map(|line| {
            vec![
                line.host.clone(),
                line.data_centre.clone(),
                line.role.clone(),
                cell(line.service.as_ref()),
                line.state.clone(),
                cell(line.running.as_ref()),
                cell(line.waiting.as_ref()),
            ]
        })
        .collect();
    let heads = [
        "HOST",
        "DATA CENTRE",
        "ROLE",
        "SERVICE",
        "STATE",
        "RUNNING",
        "WAITING",
    ];
    print_table(&heads, &rows);
}

pub(super) fn show_weights(reply: &HostsReply) {
    let is_backend = |line: &&HostSummary| line.role == "backend";
    let rows: Vec<Vec<String>> = reply
        .hosts
        .iter()
        .filter(is_backend)
        .map(|line| {
            vec![
                line.host.clone(),
                line.data_centre.clone(),
                cell(line.service.as_ref()),
                line.state.clone(),
                cell(line.serving.as_ref()),
                cell(line.staging.as_ref()),
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
        .map(|line| {
            vec![
                line.name.clone(),
                line.labels.clone(),
                line.value.to_string(),
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
