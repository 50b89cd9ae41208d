//! Requests and the data centres that may not serve them.

use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend, catalog, field};
use super::{any_backend_of_desk, job_of};
use crate::catalog::{CatalogVersion, RouteTable, ServiceCatalog};
use crate::errors::ErrorKind;
use crate::fleet::VersionRequirement;
use crate::gateway::send_attempt::{HeadWait, send_attempt};
use crate::placement::HomeRegions;
use crate::time::clock_now;

/// A refusal at once takes a few milliseconds; a wait for a slot takes 42 ms.
const AT_ONCE: Duration = Duration::from_millis(35);
const KINDS: [&str; 4] = ["safe", "once", "resumed", "single"];

fn evacuate(entry: &EntryFixture, data_centres: &[&'static str]) {
    let names = data_centres.iter().map(|name| ByteString::from(*name));
    let names: Vec<ByteString> = names.collect();
    entry.change_snapshot(|snapshot| snapshot.evacuated = Arc::new(names));
}

fn homes(names: &[&'static str]) -> HomeRegions {
    HomeRegions::of_list(names.iter().map(|name| ByteString::from(*name)).collect())
}

/// The document with these home regions for all routes and for the client account.
fn homed_catalog(version: u64, route: &HomeRegions, account: &HomeRegions) -> ServiceCatalog {
    let mut catalog = catalog();
    catalog.version = CatalogVersion(version);
    let rules = catalog.routes.rules().iter().map(|rule| {
        let mut rule = (**rule).clone();
        rule.homes = route.clone();
        rule
    });
    catalog.routes = RouteTable::new(rules.collect());
    catalog.accounts[0].homes = account.clone();
    catalog
}

fn set_catalog(entry: &EntryFixture, catalog: ServiceCatalog) {
    entry.change_snapshot(|snapshot| snapshot.catalog = Some(Arc::new(catalog)));
}

fn is_refused(response: &str, code: ErrorKind) -> bool {
    response.starts_with("HTTP/1.1 503 ")
        && field(response, "retry-after").is_some()
        && response.contains(crate::errors::error_spec(code).text)
}

/// Guards against first sends to an evacuated data centre.
#[tokio::test]
async fn a_request_goes_to_a_data_centre_that_is_not_evacuated() {
    for kind in KINDS {
        let near = FakeBackend::start(BackendBehaviour::Complete).await;
        let far = FakeBackend::start(BackendBehaviour::Complete).await;
        let entry = EntryFixture::start(&[&near, &far]).await;
        evacuate(&entry, &["here"]);
        entry.call(kind).await;
        assert_eq!((near.arrivals(), far.arrivals()), (0, 1), "{kind}");
        evacuate(&entry, &[]);
        entry.call(kind).await;
        assert!(near.arrivals() > 0, "{kind}: the evacuation has ended");
    }
}

/// Guards against retries, second sends and resumed streams that go to an evacuated data centre.
#[tokio::test]
async fn no_further_send_goes_to_an_evacuated_data_centre() {
    let behaviours = [
        ("safe", BackendBehaviour::NotRun),
        ("safe", BackendBehaviour::Fail),
        ("safe", BackendBehaviour::TruncatedBody),
        ("safe", BackendBehaviour::Unresponsive),
        ("resumed", BackendBehaviour::EventsTruncated { to: 2 }),
        ("resumed", BackendBehaviour::Unresponsive),
    ];
    for (kind, behaviour) in behaviours {
        let near = FakeBackend::start(BackendBehaviour::Complete).await;
        let far = FakeBackend::start(behaviour).await;
        let entry = EntryFixture::start(&[&near, &far]).await;
        evacuate(&entry, &["here"]);
        entry.call(kind).await;
        let arrivals = (near.arrivals(), far.arrivals());
        assert_eq!(arrivals, (0, 1), "{kind} after {behaviour:?}");
    }
}

/// Guards against a request that is written after its data centre has been evacuated, although its
/// backend server was picked before.
#[tokio::test]
async fn a_picked_backend_server_is_checked_again_before_the_send() {
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let now = clock_now();
    entry.gateway.snapshot(now);
    let job = job_of("once", now);
    let requirements = any_backend_of_desk();
    let ticket = entry.gateway.registry.pick(&requirements, now);
    let ticket = ticket.expect("a slot is free");
    evacuate(&entry, &["here"]);
    let wait = HeadWait {
        until: now + Duration::from_secs(1),
        begin_by: None,
        timeout_end: crate::fleet::CallOutcome::Failed,
    };
    let sent = send_attempt(
        &entry.gateway,
        &job,
        ticket,
        (&VersionRequirement::None, None),
        wait,
    );
    let failure = sent.await.err().expect("the request is not sent");
    assert!(!failure.has_arrived && !failure.may_have_run, "{failure:?}");
    assert_eq!(failure.kind, ErrorKind::DataCentresEvacuated);
    assert_eq!(backend.arrivals(), 0);
}

/// Guards against requests that wait although no data centre may serve them.
#[tokio::test]
async fn a_request_is_refused_at_once_if_all_data_centres_are_evacuated() {
    let near = FakeBackend::start(BackendBehaviour::Complete).await;
    let far = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&near, &far]).await;
    evacuate(&entry, &["here", "there"]);
    for kind in KINDS {
        let started_at = clock_now();
        let response = entry.call(kind).await;
        assert!(
            is_refused(&response, ErrorKind::DataCentresEvacuated),
            "{response}"
        );
        let took = clock_now().since(started_at);
        assert!(took < AT_ONCE, "{took:?}");
    }
    assert_eq!((near.arrivals(), far.arrivals()), (0, 0));
}

/// Guards against sends outside the home regions of the route or of the client account, first ones
/// and further ones.
#[tokio::test]
async fn requests_stay_in_their_home_regions() {
    let abroad = homes(&["abroad"]);
    let both = homes(&["abroad", "home"]);
    for (route, account) in [(&abroad, &HomeRegions::Anywhere), (&both, &abroad)] {
        for behaviour in [BackendBehaviour::Complete, BackendBehaviour::NotRun] {
            let near = FakeBackend::start(BackendBehaviour::Complete).await;
            let far = FakeBackend::start(behaviour).await;
            let entry = EntryFixture::start(&[&near, &far]).await;
            set_catalog(&entry, homed_catalog(2, route, account));
            for kind in KINDS {
                entry.call(kind).await;
            }
            assert_eq!(near.arrivals(), 0, "{behaviour:?}");
            assert!(far.arrivals() > 0, "{behaviour:?}");
        }
    }
}

/// Guards against refusals that do not say that home regions are the reason.
#[tokio::test]
async fn a_request_without_a_home_is_refused_with_the_reason() {
    let near = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&near]).await;
    let cases = [
        ("abroad", "home", ErrorKind::HomeRegionsDisjoint),
        ("abroad", "abroad", ErrorKind::HomeRegionsUnavailable),
        ("nowhere", "nowhere", ErrorKind::HomeRegionsUnavailable),
    ];
    for (version, (route, account, kind)) in (2..).zip(cases) {
        let catalog = homed_catalog(version, &homes(&[route]), &homes(&[account]));
        set_catalog(&entry, catalog);
        let response = entry.call("once").await;
        assert!(is_refused(&response, kind), "{response}");
    }
    assert_eq!(near.arrivals(), 0);
}

/// Guards against further sends by the home regions of the document with which the request came.
#[tokio::test]
async fn home_regions_are_those_of_the_document_in_force() {
    let now = clock_now();
    let job = job_of("once", now);
    let entry = EntryFixture::start(&[]).await;
    let allows_here = || {
        let snapshot = entry.gateway.snapshot(now);
        let placement = entry.gateway.placement(&job, &snapshot);
        placement.check(&"here".into()).is_ok()
    };
    assert!(allows_here());
    let anywhere = HomeRegions::Anywhere;
    set_catalog(&entry, homed_catalog(2, &homes(&["abroad"]), &anywhere));
    assert!(!allows_here());
    set_catalog(&entry, homed_catalog(3, &anywhere, &homes(&["home"])));
    assert!(allows_here());
    let mut without_routes = homed_catalog(4, &anywhere, &anywhere);
    without_routes.routes = RouteTable::default();
    set_catalog(&entry, without_routes);
    assert!(allows_here(), "a removed route has no new home regions");
}
