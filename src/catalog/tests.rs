//! Route matching and the choice of a service by weight.

use std::time::Duration;

use super::*;
use crate::placement::HomeRegions;

fn rule(host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        retry_policy: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        gap_target: Duration::ZERO,
        priority: 0,
        shares: vec![
            ServiceShare {
                service: "a".into(),
                weight: 90,
            },
            ServiceShare {
                service: "b".into(),
                weight: 10,
            },
        ],
        attempts_max: 1,
        is_public: false,
        homes: HomeRegions::Anywhere,
    }
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|rule| rule.prefix.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(vec![
        rule("a.example", "/"),
        rule("a.example", "/x/"),
        rule("a.example", "/x/y/"),
        rule("b.example", "/x/y/z/"),
    ]);
    assert_eq!(
        found(&table, "a.example", "/x/y/z/1").as_deref(),
        Some("/x/y/")
    );
    assert_eq!(found(&table, "a.example", "/x/y").as_deref(), Some("/x/"));
    assert_eq!(found(&table, "a.example", "/q").as_deref(), Some("/"));
    assert_eq!(found(&table, "b.example", "/x/y/"), None);
    assert_eq!(found(&table, "c.example", "/x/y/"), None);
    assert_eq!(found(&table, "a.example", "*"), None);
}

#[test]
fn requests_are_spread_over_the_services_of_a_route_by_weight() {
    let rule = rule("a.example", "/");
    let to_b = (0..1000).filter(|hash| rule.service_for(*hash).is_some_and(|name| *name == "b"));
    assert_eq!(to_b.count(), 100);
}
