//! Creates the replies of the administration API from the state that an entry host knows.

use super::messages::{
    CounterValue, HostCounts, HostSummary, HostsReply, RequestsReply, ServiceSummary, StateReply,
};
use crate::control::{ControlHandle, ControlSnapshot, MemberRecord, MemberState, ServiceRecord};
use crate::metrics;
use crate::stores::HostRole;
use crate::time::clock_now;

/// The state of the host to which `control` belongs.
pub(super) fn state_reply(control: &ControlHandle) -> StateReply {
    let snapshot = control.snapshot().load();
    let now = clock_now();
    let age = control.fresh_at().map(|at| now.since(at).as_millis());
    StateReply {
        host: control.identity().host.to_string(),
        data_centre: control.identity().data_centre.to_string(),
        table_answers: snapshot.table_answers,
        documents_age_ms: age.and_then(|age| u64::try_from(age).ok()),
        services: snapshot
            .services
            .iter()
            .map(|record| service_summary(record, &snapshot))
            .collect(),
        hosts: host_counts(&snapshot),
    }
}

fn service_summary(record: &ServiceRecord, snapshot: &ControlSnapshot) -> ServiceSummary {
    let document = &record.document;
    let weights = document.weights.as_ref();
    let backends = || {
        snapshot
            .members
            .iter()
            .filter(|member| member.service.as_ref() == Some(&document.service))
    };
    let serves = |member: &&std::sync::Arc<MemberRecord>| {
        let serving = member
            .status
            .as_ref()
            .and_then(|status| status.serving.as_ref());
        serving.map(|serving| &serving.version) == weights.map(|weights| &weights.version)
    };
    ServiceSummary {
        service: document.service.to_string(),
        team: document.team.to_string(),
        version: record.version,
        weights: weights.map(|weights| weights.version.to_string()),
        live: backends()
            .filter(|member| member.state == MemberState::Live)
            .count(),
        serving: backends().filter(serves).count(),
    }
}

fn host_counts(snapshot: &ControlSnapshot) -> HostCounts {
    let mut counts = HostCounts::default();
    for member in &snapshot.members {
        match member.state {
            MemberState::Live => counts.live += 1,
            MemberState::Suspected => counts.suspected += 1,
            MemberState::Leaving => counts.leaving += 1,
            MemberState::Unavailable => counts.gone += 1,
        }
    }
    counts
}

/// The hosts known to the host to which `control` belongs.
pub(super) fn hosts_reply(control: &ControlHandle) -> HostsReply {
    let snapshot = control.snapshot().load();
    let hosts = snapshot.members.iter();
    HostsReply {
        hosts: hosts.map(|member| host_summary(member)).collect(),
    }
}

fn host_summary(member: &MemberRecord) -> HostSummary {
    let status = member.status.as_ref();
    let staging = status.and_then(|status| status.staging.as_ref());
    HostSummary {
        host: member.host.to_string(),
        data_centre: member.data_centre.to_string(),
        region: member.region.to_string(),
        role: role_text(member.role).to_owned(),
        service: member.service.as_ref().map(ToString::to_string),
        state: state_text(member.state).to_owned(),
        running: status.map(|status| status.load.running),
        waiting: status.map(|status| status.load.waiting),
        serving: status
            .and_then(|status| status.serving.as_ref())
            .map(|serving| serving.version.to_string()),
        staging: staging.map(|staging| {
            let percent =
                100 * u64::from(staging.chunks_done) / u64::from(staging.chunks_all.max(1));
            format!("{} {percent}%", staging.version)
        }),
    }
}

const fn role_text(role: HostRole) -> &'static str {
    match role {
        HostRole::Entry => "entry",
        HostRole::Backend => "backend",
    }
}

const fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Live => "live",
        MemberState::Suspected => "suspected",
        MemberState::Leaving => "leaving",
        MemberState::Unavailable => "gone",
    }
}

/// The request counters of this process.
pub(super) fn requests_reply() -> RequestsReply {
    let text = metrics::render_text();
    let counters = text.lines().filter_map(counter_value).collect();
    RequestsReply { counters }
}

/// Parses one line of Prometheus text, `name{label="value",…} number`. Returns `None` for other
/// lines, for histogram buckets and for metrics that are not prefixed `savory_`.
fn counter_value(line: &str) -> Option<CounterValue> {
    let (series, value) = line.rsplit_once(' ')?;
    let (name, labels) = series.split_once('{').unwrap_or((series, ""));
    if !name.starts_with("savory_") || name.contains("_bucket") {
        return None;
    }
    let labels: Vec<String> = labels
        .trim_end_matches('}')
        .split(',')
        .filter(|label| !label.starts_with("otel_"))
        .map(|label| label.replace('"', ""))
        .collect();
    Some(CounterValue {
        name: name.to_owned(),
        labels: labels.join(" "),
        value: value.parse().ok()?,
    })
}
